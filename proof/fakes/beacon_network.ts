/**
 * A network in virtual time over which the daemons of several failure domains exchange beacons.
 *
 * @example
 * ```ts
 * const network = new BeaconNetwork({ domains: [58, 10], upstreams: 13, seed: 1 });
 * await network.time.run(5_000);
 * network.daemons[0].setFaultProbability(0.9);
 * ```
 *
 * @module
 */
import { NullProofExchange } from "../../measure/capacity/null_proof_exchange.ts";
import { NullSinks } from "../../measure/capacity/null_sinks.ts";
import type { Beacon } from "../../src/beacon/beacon.ts";
import { BeaconExchange } from "../../src/beacon/beacon_exchange.ts";
import type { Upstream } from "../../src/core/upstream.ts";
import { encodeBeacon } from "../../src/edge/beacon_udp/encode_beacon.ts";
import { MembershipTable } from "../../src/membership/membership_table.ts";
import { BeaconDaemon } from "./beacon_daemon.ts";
import { SeededRandom } from "./seeded_random.ts";
import { VirtualTime } from "./virtual_time.ts";

interface Options {
    /** Number of daemons in each failure domain. */
    readonly domains: readonly number[];
    /** Number of upstreams of each daemon. */
    readonly upstreams: number;
    readonly seed: number;
    /** Share of the datagrams that are lost; 0 by default. */
    readonly lossShare?: number;
}

/** One-way latency of a datagram in milliseconds. */
const delayMs = 1;
/** Bytes of the IP and UDP headers. */
const headerBytes = 28;
const sinks = new NullSinks();

/** All daemons have the same instance list from the start. */
export class BeaconNetwork {
    readonly time = new VirtualTime();
    readonly daemons: readonly BeaconDaemon[];
    private readonly byAddress: ReadonlyMap<string, BeaconDaemon>;
    /** Paths that drop datagrams, as `sender receiver`. */
    private readonly cuts = new Set<string>();
    private readonly random: SeededRandom;
    private readonly lossShare: number;

    constructor({ domains, lossShare = 0, seed, upstreams }: Options) {
        this.lossShare = lossShare;
        this.random = new SeededRandom(seed);
        const upstreamsByDaemon = domains.flatMap((size, domain) =>
            Array.from({ length: size }, (_, index) => createUpstreams(domain, index, upstreams))
        );
        this.daemons = upstreamsByDaemon.map(ownUpstreams =>
            this.createDaemon(ownUpstreams, upstreamsByDaemon.flat())
        );
        this.byAddress = new Map(this.daemons.map(daemon => [daemon.address, daemon]));
        this.daemons.forEach(({ exchange }) => exchange.start());
    }

    /** Drops all datagrams from one daemon to the other. */
    addCut(fromId: string, toId: string): void {
        this.cuts.add(`${fromId} ${toId}`);
    }

    close(): void {
        this.daemons.forEach(({ exchange }) => exchange.close());
    }

    private send(sender: BeaconDaemon, address: string, beacon: Beacon): void {
        const bytes = encodeBeacon(beacon).length + headerBytes;
        sender.countDatagram(bytes);
        const receiver = this.byAddress.get(address);
        const isLost = this.lossShare > 0 && this.random.getFloat() < this.lossShare;
        if (receiver === undefined || isLost || this.cuts.has(`${sender.id} ${receiver.id}`)) {
            return;
        }
        this.time.start(delayMs, () => {
            receiver.countDatagram(bytes);
            receiver.exchange.handleBeacon(beacon);
        });
    }

    private createDaemon(ownUpstreams: readonly Upstream[], allUpstreams: readonly Upstream[]): BeaconDaemon {
        const { ownerAddress, ownerId } = ownUpstreams[0]!;
        const membership = new MembershipTable({
            clock: this.time,
            audit: sinks,
            logger: sinks,
            metrics: sinks,
        });
        membership.merge({ version: 1, upstreams: allUpstreams }, "1", "test");
        const daemon: BeaconDaemon = new BeaconDaemon({
            id: ownerId,
            address: ownerAddress,
            failureDomain: ownUpstreams[0]!.failureDomain,
            upstreamIds: ownUpstreams.map(({ id }) => id),
            createExchange: parts =>
                new BeaconExchange({
                    proofs: new NullProofExchange(),
                    ...parts,
                    clock: this.time,
                    timers: this.time,
                    random: this.random,
                    identity: { ownerId, incarnation: "5a11c0de018f2e4b7c1" },
                    failureDomain: ownUpstreams[0]!.failureDomain,
                    membership,
                    transport: { send: (address, beacon) => this.send(daemon, address, beacon) },
                    counts: { listCounts: () => createCounts(), recordPeerCounts: () => undefined },
                    logger: sinks,
                }),
        });
        return daemon;
    }
}

/** Counts of a daemon whose callers use six services. */
function createCounts() {
    return Array.from(
        { length: 6 },
        (_, index) => ({ service: `service-${index}`, requests: 130, repeats: 7 }),
    );
}

function createUpstreams(domain: number, index: number, count: number): readonly Upstream[] {
    const ownerId = `10.${domain}.0.${index}`;
    return Array.from({ length: count }, (_, number) => ({
        id: `i-${domain}${index.toString().padStart(4, "0")}${number.toString().padStart(5, "0")}`,
        service: `service-${number}`,
        ownerId,
        ownerAddress: `${ownerId}:7520`,
        failureDomain: `domain-${domain}`,
        region: "region",
        leaving: false,
        address: `${ownerId}:8080`,
        slots: 4,
        coldRemainingMs: 0,
    }));
}
