/**
 * Tells the daemons of the own failure domain how the owned upstreams do, at once when that changes, and one daemon
 * of each other failure domain when an upstream begins or ceases to fail.
 *
 * @example
 * ```ts
 * const exchange = new BeaconExchange(options);
 * exchange.start();
 * exchange.recordChange();
 * exchange.handleBeacon(beacon);
 * exchange.close();
 * ```
 *
 * @module
 */
import type { Clock } from "../core/clock.ts";
import { LogLevel } from "../core/log_level.ts";
import type { Logger } from "../core/logger.ts";
import type { RandomSource } from "../core/random_source.ts";
import type { Timer } from "../core/timer.ts";
import type { Timers } from "../core/timers.ts";
import type { UpstreamState } from "../core/upstream_state.ts";
import type { LeavingAnnouncer } from "../lifecycle/leaving_announcer.ts";
import type { Daemon } from "../membership/daemon.ts";
import type { MembershipTable } from "../membership/membership_table.ts";
import type { OwnerIdentity } from "../operations/owner_identity.ts";
import type { Beacon } from "./beacon.ts";
import type { BeaconTransport } from "./beacon_transport.ts";
import type { CountExchange } from "./count_exchange.ts";
import type { PathObserver } from "./path_observer.ts";
import { PeerLiveness } from "./peer_liveness.ts";
import type { RevisionExchange } from "./revision_exchange.ts";
import type { StateObserver } from "./state_observer.ts";

interface Options {
    readonly clock: Clock;
    readonly timers: Timers;
    readonly random: RandomSource;
    readonly identity: OwnerIdentity;
    readonly failureDomain: string;
    readonly membership: MembershipTable;
    readonly transport: BeaconTransport;
    readonly observer: StateObserver;
    readonly listStates: () => readonly UpstreamState[];
    readonly counts: CountExchange;
    readonly revisions: RevisionExchange;
    readonly logger: Logger;
}

/** Milliseconds between beacons while nothing changes. */
const periodMs = 250;
/** Milliseconds between two beacons about small changes, for example of the load. */
const changeMs = 40;
/** Milliseconds after which news for other failure domains are sent once more, since datagrams get lost. */
const repeatMs = 300;
/** Probability of a fault at which an upstream counts as failing for other failure domains. */
const failingLimit = 0.25;

/** Sends and receives beacons. */
export class BeaconExchange implements LeavingAnnouncer, PathObserver {
    private readonly liveness: PeerLiveness;
    private timer: Timer | undefined;
    private changeTimer: Timer | undefined;
    private repeatTimer: Timer | undefined;
    private sentAtMs = -Infinity;
    private classes = "";
    private silent: ReadonlySet<string> = new Set();
    private closed = false;

    constructor(private readonly options: Options) {
        this.liveness = new PeerLiveness(options.identity.ownerId);
    }

    start(): void {
        this.send();
    }

    close(): void {
        this.closed = true;
        this.timer?.close();
        this.changeTimer?.close();
        this.repeatTimer?.close();
    }

    /** Call when the state of an owned upstream may have changed. */
    recordChange(): void {
        if (this.closed) {
            return;
        }
        if (formatClasses(this.options.listStates()) !== this.classes) {
            this.send();
            return;
        }
        const dueMs = this.sentAtMs + changeMs - this.options.clock.getMonotonicMs();
        this.changeTimer ??= this.options.timers.start(Math.max(0, dueMs), () => this.send());
    }

    sendLeaving(): void {
        this.send();
    }

    handleBeacon(beacon: Beacon): void {
        const { clock, identity, membership, observer } = this.options;
        const { daemonId, heard, incarnation, upstreams } = beacon;
        if (daemonId === identity.ownerId) {
            return;
        }
        const nowMs = clock.getMonotonicMs();
        membership.recordIncarnation(daemonId, incarnation, false);
        if (membership.getDaemons().get(daemonId)?.failureDomain === this.options.failureDomain) {
            this.liveness.record(daemonId, heard, nowMs);
            this.options.counts.recordPeer(daemonId, incarnation, beacon.counts);
        }
        this.options.revisions.recordPeerRevision(beacon.revision);
        for (const state of upstreams) {
            observer.recordState(state, nowMs);
        }
        if (beacon.relay) {
            this.sendToDomain({ ...beacon, relay: false });
        }
    }

    /** True when the path to a daemon of the own failure domain is cut in either direction. */
    isSilent(daemonId: string): boolean {
        return this.liveness.isSilent(daemonId, this.options.clock.getMonotonicMs());
    }

    private send(): void {
        if (this.closed) {
            return;
        }
        const { clock, listStates, timers } = this.options;
        this.changeTimer?.close();
        this.changeTimer = undefined;
        this.timer?.close();
        this.timer = timers.start(periodMs, () => this.send());
        this.sentAtMs = clock.getMonotonicMs();
        this.liveness.removeExcept(this.options.membership.getDaemons());
        this.recordSilence();
        const upstreams = listStates();
        this.sendToDomain(this.buildBeacon(upstreams, false));
        const classes = formatClasses(upstreams);
        if (classes !== this.classes) {
            this.classes = classes;
            this.sendToOthers();
            this.repeatTimer?.close();
            this.repeatTimer = timers.start(repeatMs, () => this.sendToOthers());
        }
    }

    /** Logs the paths of the own failure domain that have been cut or came back since the last call. */
    private recordSilence(): void {
        const { clock, logger } = this.options;
        const silent = new Set(this.liveness.listSilent(clock.getMonotonicMs()));
        for (const daemon of silent) {
            if (!this.silent.has(daemon)) {
                logger.write(LogLevel.Warn, "peer_silent", { peer: daemon });
            }
        }
        for (const daemon of this.silent) {
            if (!silent.has(daemon)) {
                logger.write(LogLevel.Info, "peer_back", { peer: daemon });
            }
        }
        this.silent = silent;
    }

    private sendToDomain(beacon: Beacon): void {
        const { failureDomain, transport } = this.options;
        for (const daemon of this.listPeers()) {
            if (daemon.failureDomain === failureDomain && daemon.id !== beacon.daemonId) {
                transport.send(daemon.address, beacon);
            }
        }
    }

    /** Sends to one daemon of each other failure domain, which passes it on. */
    private sendToOthers(): void {
        const { failureDomain, listStates, random, transport } = this.options;
        const domains = new Map<string, Daemon[]>();
        for (const daemon of this.listPeers()) {
            if (daemon.failureDomain !== failureDomain) {
                domains.set(daemon.failureDomain, [...domains.get(daemon.failureDomain) ?? [], daemon]);
            }
        }
        const beacon = this.buildBeacon(listStates(), true);
        for (const daemons of domains.values()) {
            const daemon = daemons[Math.floor(random.take() * daemons.length)];
            if (daemon !== undefined) {
                transport.send(daemon.address, beacon);
            }
        }
    }

    private listPeers(): readonly Daemon[] {
        const { identity, membership } = this.options;
        return [...membership.getDaemons().values()].filter(({ id }) => id !== identity.ownerId);
    }

    private buildBeacon(upstreams: readonly UpstreamState[], relay: boolean): Beacon {
        const { clock, identity, revisions } = this.options;
        const { incarnation, ownerId: daemonId } = identity;
        const heard = relay ? [] : this.liveness.listHeard(clock.getMonotonicMs());
        const counts = relay ? [] : this.options.counts.listCounts();
        const revision = revisions.getRevision();
        return { daemonId, incarnation, relay, upstreams, heard, counts, revision };
    }
}

/** What other failure domains want to know about the upstreams. */
function formatClasses(upstreams: readonly UpstreamState[]): string {
    return upstreams.map(({ faultProbability, leaving, upstreamId }) =>
        `${upstreamId} ${leaving} ${faultProbability > failingLimit}`
    ).join();
}
