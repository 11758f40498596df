/**
 * Daemons of one failure domain in one process, each with its own exchange of beacons over a loopback socket.
 *
 * @module
 */
import { BeaconExchange } from "../../src/beacon/beacon_exchange.ts";
import type { Clock } from "../../src/core/clock.ts";
import type { Upstream } from "../../src/core/upstream.ts";
import type { UpstreamState } from "../../src/core/upstream_state.ts";
import { UdpBeaconTransport } from "../../src/edge/beacon_udp/udp_beacon_transport.ts";
import { SystemClock } from "../../src/edge/system/system_clock.ts";
import { SystemRandom } from "../../src/edge/system/system_random.ts";
import { SystemTimers } from "../../src/edge/system/system_timers.ts";
import { FleetRetryBudget } from "../../src/forward/fleet_retry_budget.ts";
import { MembershipTable } from "../../src/membership/membership_table.ts";
import { NullProofExchange } from "../capacity/null_proof_exchange.ts";
import { NullSinks } from "../capacity/null_sinks.ts";

const firstPort = 17_600;
const failureDomain = "domain";
const sinks = new NullSinks();
const retryBudgetBounds = { percent: 20, slack: 60, windowMs: 10_000 };

interface FleetDaemon {
    readonly exchange: BeaconExchange;
    readonly transport: UdpBeaconTransport;
    readonly budget: FleetRetryBudget;
    readonly state: { running: number; };
    readonly address: string;
}

/** Runs the beacon exchange of several daemons. Requests are only counted; nothing is forwarded. */
export class BeaconFleet {
    private readonly clock: Clock = new SystemClock();
    private readonly timers = new SystemTimers();
    private readonly random = new SystemRandom();
    private readonly daemons: readonly FleetDaemon[];
    private timer: NodeJS.Timeout | undefined;

    /** Creates the daemons `first` to `end` (exclusive) of a failure domain of `size` daemons. */
    constructor(size: number, first = 0, end = size) {
        const upstreams = Array.from({ length: size }, (_, index) => createUpstream(index));
        this.daemons = upstreams.slice(first, end).map(upstream => this.createDaemon(upstream, upstreams));
    }

    async start(requestsPerSecond: number): Promise<void> {
        for (const { address, exchange, transport } of this.daemons) {
            (await transport.open(address, beacon => exchange.handleBeacon(beacon)))._unsafeUnwrap();
        }
        this.daemons.forEach(({ exchange }) => exchange.start());
        if (requestsPerSecond > 0) {
            this.startRequest(1_000 / (requestsPerSecond * this.daemons.length));
        }
    }

    close(): void {
        clearTimeout(this.timer);
        for (const { exchange, transport } of this.daemons) {
            exchange.close();
            transport.close();
        }
    }

    private startRequest(meanIntervalMs: number): void {
        const { budget, exchange, state } = this
            .daemons[Math.floor(this.random.getFloat() * this.daemons.length)]!;
        budget.add("service-1");
        state.running += 1;
        exchange.recordChange();
        setTimeout(() => {
            state.running -= 1;
            exchange.recordChange();
        }, 300);
        this.timer = setTimeout(
            () => this.startRequest(meanIntervalMs),
            -meanIntervalMs * Math.log(1 - this.random.getFloat()),
        );
    }

    private createDaemon(upstream: Upstream, upstreams: readonly Upstream[]): FleetDaemon {
        const { clock, random, timers } = this;
        const membership = new MembershipTable({ clock, audit: sinks, logger: sinks, metrics: sinks });
        membership.merge({ version: 1, upstreams }, "1", "measure");
        const budget = new FleetRetryBudget({
            clock,
            getBounds: () => retryBudgetBounds,
            getGroupShare: () => 1,
            getGroupPeerIds: () => exchange.getGroupPeerIds(),
            isListed: daemonId => membership.getDaemons().has(daemonId),
        });
        const transport = new UdpBeaconTransport(sinks);
        const state = { running: 0 };
        const exchange: BeaconExchange = new BeaconExchange({
            clock,
            timers,
            random,
            identity: { ownerId: upstream.ownerId, incarnation: "5a11c0de018f2e4b7c1" },
            failureDomain,
            membership,
            transport,
            observer: { recordState: () => undefined },
            listStates: () => [createState(upstream.id, state.running)],
            counts: budget,
            proofs: new NullProofExchange(),
            revisions: {
                getRevision: () => ({ era: 0, revision: 1_000 }),
                hasLargeChange: () => false,
                getStoreAgeMs: () => 200,
                recordPeer: () => undefined,
            },
            logger: sinks,
        });
        return { exchange, transport, budget, state, address: upstream.ownerAddress };
    }
}

function createUpstream(index: number): Upstream {
    return {
        id: `i-${index.toString(16).padStart(10, "0")}`,
        service: `service-${index % 5}`,
        ownerId: `10.1.0.${index}`,
        ownerAddress: `127.0.0.1:${firstPort + index}`,
        failureDomain,
        region: "region",
        leaving: false,
        address: `10.1.0.${index}:8080`,
        slots: 4,
        coldRemainingMs: 0,
    };
}

function createState(upstreamId: string, running: number): UpstreamState {
    return {
        upstreamId,
        slots: 4,
        running,
        queuedShort: 0,
        queuedLong: 0,
        waitShortMs: 0,
        waitLongMs: 0,
        healthScore: 0,
        leaving: false,
        faultProbability: 0.1,
    };
}
