import { create, toBinary } from "@bufbuild/protobuf";
import type { Beacon } from "../../beacon/beacon.ts";
import { BeaconSchema } from "../../gen/zinniaglade/v1/control_pb.ts";
import { encodeUint32 } from "../encode_uint32.ts";

/** Encodes a beacon as the protobuf message of one datagram. */
export function encodeBeacon(beacon: Beacon): Uint8Array {
    const { counts, daemonId, incarnation, kind, reports, revision, storeAgeMs, suspects } = beacon;
    const { allowanceAsk, allowanceGrant, claim, hasLargeChange = false, probeNumber } = beacon;
    return toBinary(
        BeaconSchema,
        create(BeaconSchema, {
            kind,
            suspects: [...suspects],
            daemonId,
            incarnation,
            revision: BigInt(revision.revision),
            storeEra: revision.era,
            hasLargeChange,
            ...(storeAgeMs === undefined ? {} : { storeAgeMs: encodeUint32(storeAgeMs) }),
            ...(claim === undefined ? {} : {
                configVersion: BigInt(claim.version),
                // Rounding must not make a proof newer than it is.
                proofAgeMs: encodeUint32(Math.ceil(claim.ageMs)),
            }),
            ...(probeNumber === undefined ? {} : { probeNumber: BigInt(probeNumber) }),
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
