import { create, toBinary } from "@bufbuild/protobuf";
import type { Beacon } from "../../beacon/beacon.ts";
import { BeaconSchema } from "../../gen/zinniaglade/v1/control_pb.ts";
import { encodeUint32 } from "../encode_uint32.ts";

/** Encodes a beacon as the protobuf message of one datagram. */
export function encodeBeacon(beacon: Beacon): Uint8Array {
    const {
        allowanceAsk,
        allowanceGrant,
        counts,
        daemonId,
        incarnation,
        kind,
        reports,
        revision,
        storeAgeMs,
        suspects,
    } = beacon;
    return toBinary(
        BeaconSchema,
        create(BeaconSchema, {
            kind,
            suspects: [...suspects],
            daemonId,
            incarnation,
            revision: BigInt(revision),
            ...(storeAgeMs === undefined ? {} : { storeAgeMs: encodeUint32(storeAgeMs) }),
            ...(allowanceAsk === undefined
                ? {}
                : { allowanceAsk: { ...allowanceAsk, id: BigInt(allowanceAsk.id) } }),
            ...(allowanceGrant === undefined
                ? {}
                : { allowanceGrant: { ...allowanceGrant, id: BigInt(allowanceGrant.id) } }),
            counts: counts.map(count => ({ ...count })),
            reports: reports.map(({ ageMs, sequence, state }) => ({
                state,
                sequence: BigInt(sequence),
                ageMs: encodeUint32(ageMs),
            })),
        }),
    );
}
