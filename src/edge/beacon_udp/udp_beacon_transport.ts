/**
 * Sends and receives beacons as UDP datagrams, one protobuf message each.
 *
 * @module
 */
import { fromBinary } from "@bufbuild/protobuf";
import { err, fromThrowable, ok, type Result } from "neverthrow";
import { createSocket, type Socket } from "node:dgram";
import type { Beacon } from "../../beacon/beacon.ts";
import { BeaconKind } from "../../beacon/beacon_kind.ts";
import type { BeaconTransport } from "../../beacon/beacon_transport.ts";
import { Code } from "../../core/code.ts";
import { createFailure } from "../../core/create_failure.ts";
import type { Failure } from "../../core/failure.ts";
import type { Metrics } from "../../core/metrics.ts";
import { BeaconSchema } from "../../gen/zinniaglade/v1/control_pb.ts";
import { splitAddress } from "../http/split_address.ts";
import { encodeBeacon } from "./encode_beacon.ts";

const decodeBeacon = fromThrowable((bytes: Uint8Array): Beacon => {
    const message = fromBinary(BeaconSchema, bytes);
    const { counts, daemonId, incarnation, kind, reports, revision, storeAgeMs, suspects } = message;
    const { allowanceAsk, allowanceGrant, configVersion, hasLargeChange, probeNumber, proofAgeMs, storeEra } =
        message;
    return {
        kind: decodeKind(kind),
        daemonId,
        incarnation,
        reports: reports.flatMap(({ ageMs, sequence, state }) =>
            state === undefined ? [] : { state, sequence: Number(sequence), ageMs }
        ),
        counts,
        suspects,
        revision: { era: storeEra, revision: Number(revision) },
        ...hasLargeChange ? { hasLargeChange } : {},
        storeAgeMs,
        claim: proofAgeMs === undefined ? undefined : { version: Number(configVersion), ageMs: proofAgeMs },
        probeNumber: probeNumber === 0n ? undefined : Number(probeNumber),
        ...(allowanceAsk === undefined
            ? {}
            : { allowanceAsk: { ...allowanceAsk, id: Number(allowanceAsk.id) } }),
        ...(allowanceGrant === undefined
            ? {}
            : { allowanceGrant: { ...allowanceGrant, id: Number(allowanceGrant.id) } }),
    };
});

/** Fails when a value does not fit its field. */
const encodeBeaconSafely = fromThrowable(encodeBeacon);

/** UDP socket on the peer address of this daemon. */
export class UdpBeaconTransport implements BeaconTransport {
    private readonly socket: Socket = createSocket("udp4");
    private lastEncoded: { readonly beacon: Beacon; readonly bytes: Uint8Array; } | undefined;

    constructor(private readonly metrics: Metrics) {}

    /** Binds `address` and calls `handle` for each received beacon. Fails with PortUnavailable. */
    open(address: string, handle: (beacon: Beacon) => void): Promise<Result<void, Failure>> {
        this.socket.on("message", bytes => {
            const beacon = decodeBeacon(bytes);
            if (beacon.isOk()) {
                handle(beacon.value);
            }
            else {
                this.metrics.addCount("beacon.unreadable");
            }
        });
        const { host, port } = splitAddress(address);
        return new Promise(resolve => {
            this.socket.once("error", error => {
                resolve(err(createFailure(Code.PortUnavailable, { detail: `${address}: ${error.message}` })));
            });
            this.socket.bind(port, host, () => {
                // Errors are only counted: a beacon that cannot be sent is like one lost on the network.
                this.socket.on("error", () => this.metrics.addCount("beacon.socket_errors"));
                resolve(ok(undefined));
            });
        });
    }

    send(address: string, beacon: Beacon): void {
        // The same beacon is sent to many daemons, so that its encoding is reused.
        if (this.lastEncoded?.beacon !== beacon) {
            const encoded = encodeBeaconSafely(beacon);
            if (encoded.isErr()) {
                // Other beacons of the round, with other reports, are still sent.
                this.metrics.addCount("beacon.not_encodable");
                return;
            }
            this.lastEncoded = { beacon, bytes: encoded.value };
        }
        const { host, port } = splitAddress(address);
        this.socket.send(this.lastEncoded.bytes, port, host, error => {
            if (error) {
                this.metrics.addCount("beacon.send_errors");
            }
        });
    }

    close(): void {
        this.socket.close();
    }
}

function decodeKind(kind: number): BeaconKind {
    return kind === BeaconKind.Probe || kind === BeaconKind.Ack ? kind : BeaconKind.Update;
}
