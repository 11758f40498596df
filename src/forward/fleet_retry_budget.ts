/**
 * Retry budget of each service that holds for the whole fleet.
 *
 * The fleet may send a share of its requests once more, and a fixed number of further attempts in each window. The
 * daemons of a group tell each other how many attempts they have sent lately and use their part together; the fixed
 * number is divided between the groups, which do not talk about it, by their size. The part of a daemon that does not
 * report is left to it; while a new one has not reported yet, each daemon also keeps to its own part.
 *
 * @example
 * ```ts
 * const getBounds = () => ({ percent: 20, slack: 64, windowMs: 10_000 });
 * const budget = new FleetRetryBudget({ clock, getBounds, getGroupShare, getGroupPeerIds, isListed });
 * budget.recordPeer("daemon-2", "incarnation", counts);
 * ```
 *
 * @module
 */
import type { AttemptCountExchange } from "../beacon/attempt_count_exchange.ts";
import type { Clock } from "../core/clock.ts";
import type { RetryBounds } from "./retry_bounds.ts";
import type { RetryBudget } from "./retry_budget.ts";
import type { ServiceCount } from "./service_count.ts";
import { SlidingWindowCounter } from "./sliding_window_counter.ts";

interface Options {
    readonly clock: Clock;
    readonly getBounds: () => RetryBounds;
    /** Share of all daemons that tell this one their counts, with this one. */
    readonly getGroupShare: () => number;
    /** The other daemons that share their counts with this one; the same set until they change. */
    readonly getGroupPeerIds: () => ReadonlySet<string>;
    /** True for each daemon of the fleet, in whatever group. */
    readonly isListed: (daemonId: string) => boolean;
}

/** Attempts of one service that this daemon has counted lately. */
interface ServiceCounters {
    readonly requests: SlidingWindowCounter;
    readonly repeats: SlidingWindowCounter;
    /** Repeats, own and reported, that were counted in the time that a count takes to reach the group. */
    readonly groupRepeats: SlidingWindowCounter;
    /** The own ones of these. */
    readonly ownRepeats: SlidingWindowCounter;
}

/** What another daemon has reported of one service. */
interface PeerCount {
    readonly daemonId: string;
    readonly requests: number;
    readonly repeats: number;
    readonly atMs: number;
}

/**
 * Part of the allowed attempts that the daemons use. The rest covers what they learn too late, and calls that a
 * repeated request makes again.
 */
const usedShare = 0.9;
/**
 * Milliseconds that a count takes to reach the daemons of a group at most: there are seven others, and in each period
 * of 300 ms one is probed and one probes, so that two report.
 */
const reportDelayMs = 1_050;
/** Factor on what is estimated to be unreported, because repeats that have begun to rise go on rising. */
const growthMargin = 1.5;

/** Counts the attempts of a group of daemons over a sliding window. */
export class FleetRetryBudget implements RetryBudget, AttemptCountExchange {
    private readonly counters = new Map<string, ServiceCounters>();
    /** Reports by service, then by daemon and incarnation: what a process sent before it ended still counts. */
    private readonly peerCounts = new Map<string, Map<string, PeerCount>>();
    /** Time of the last report of each daemon. */
    private readonly reportedAtMs = new Map<string, number>();
    private groupPeerIds: ReadonlySet<string> = new Set();
    /** Time at which this daemon first saw each other one in its group. */
    private joinedAtMs: ReadonlyMap<string, number> = new Map();

    constructor(private readonly options: Options) {}

    add(service: string): void {
        this.getWindow(service).requests.add(1, this.options.clock.getMonotonicMs());
    }

    has(service: string, share = 1): boolean {
        const { clock, getBounds, getGroupShare } = this.options;
        const { percent, slack, windowMs } = getBounds();
        const nowMs = clock.getMonotonicMs();
        this.updateGroup(nowMs);
        const window = this.getWindow(service);
        let requests = window.requests.get(nowMs);
        let repeats = window.repeats.get(nowMs);
        const ownSlack = slack * getGroupShare() / (1 + this.groupPeerIds.size);
        const ownAllowed = requests * percent / 100 + ownSlack;
        if (this.isAwaitingReport(nowMs - windowMs) && repeats + 1 > share * usedShare * ownAllowed) {
            return false;
        }
        for (const count of this.listPeerCounts(service, nowMs - windowMs)) {
            requests += count.requests;
            repeats += count.repeats;
        }
        const unreported = this.computeUnreported(window, nowMs - windowMs, nowMs);
        const allowed = requests * percent / 100 + ownSlack * (1 + this.countReporting(nowMs - windowMs));
        return repeats + unreported + 1 <= share * usedShare * allowed;
    }

    take(service: string): boolean {
        if (!this.has(service)) {
            return false;
        }
        this.addRepeats(service, 1);
        return true;
    }

    release(service: string): void {
        this.addRepeats(service, -1);
    }

    /** What this daemon has sent lately, for the other daemons of its group; services with repeats come first. */
    listCounts(limit: number): readonly ServiceCount[] {
        const nowMs = this.options.clock.getMonotonicMs();
        const counts = [...this.counters].map(([service, { repeats, requests }]) => ({
            service,
            requests: requests.get(nowMs),
            repeats: Math.max(0, repeats.get(nowMs)),
        }));
        const listed = counts.filter(({ repeats, requests }) => requests > 0 || repeats > 0)
            .sort((left, right) => Math.sign(right.repeats) - Math.sign(left.repeats))
            .slice(0, limit);
        for (const { service } of listed) {
            // Moves the service to the end, so that all of them are told in turn.
            const window = this.getWindow(service);
            this.counters.delete(service);
            this.counters.set(service, window);
        }
        return listed;
    }

    recordPeerCounts(daemonId: string, incarnation: string, counts: readonly ServiceCount[]): void {
        const atMs = this.options.clock.getMonotonicMs();
        this.updateGroup(atMs);
        this.reportedAtMs.set(daemonId, atMs);
        for (const { repeats, requests, service } of counts) {
            let peers = this.peerCounts.get(service);
            if (peers === undefined) {
                peers = new Map();
                this.peerCounts.set(service, peers);
            }
            const key = `${daemonId} ${incarnation}`;
            const added = repeats - (peers.get(key)?.repeats ?? 0);
            if (added > 0) {
                this.getWindow(service).groupRepeats.add(added, atMs);
            }
            peers.set(key, { daemonId, requests, repeats, atMs });
        }
    }

    private updateGroup(nowMs: number): void {
        const groupPeerIds = this.options.getGroupPeerIds();
        if (groupPeerIds === this.groupPeerIds) {
            return;
        }
        this.groupPeerIds = groupPeerIds;
        this.joinedAtMs = new Map([...groupPeerIds].map(id => [id, this.joinedAtMs.get(id) ?? nowMs]));
        this.removeRequestsOfMovedDaemons();
    }

    /**
     * The requests of a daemon that is in another group now raise the allowance there. Those of one that has gone are
     * told nowhere else. The repeats of both were sent from the part of this group.
     */
    private removeRequestsOfMovedDaemons(): void {
        for (const peers of this.peerCounts.values()) {
            for (const [key, count] of peers) {
                if (!this.groupPeerIds.has(count.daemonId) && this.options.isListed(count.daemonId)) {
                    peers.set(key, { ...count, requests: 0 });
                }
            }
        }
    }

    /**
     * True while a daemon that joined the group lately has not reported. What it sends is not known then, and it may
     * not know of this daemon either. One that stays silent for a whole window only has its part left to it.
     */
    private isAwaitingReport(sinceMs: number): boolean {
        for (const [daemonId, joinedAtMs] of this.joinedAtMs) {
            if (joinedAtMs >= sinceMs && (this.reportedAtMs.get(daemonId) ?? -Infinity) < joinedAtMs) {
                return true;
            }
        }
        return false;
    }

    /** Number of other daemons of the group whose reports are not older than `sinceMs`. */
    private countReporting(sinceMs: number): number {
        let reporting = 0;
        for (const [daemonId, joinedAtMs] of this.joinedAtMs) {
            if ((this.reportedAtMs.get(daemonId) ?? -Infinity) >= Math.max(sinceMs, joinedAtMs)) {
                reporting += 1;
            }
        }
        return reporting;
    }

    private addRepeats(service: string, amount: number): void {
        const nowMs = this.options.clock.getMonotonicMs();
        const { groupRepeats, ownRepeats, repeats } = this.getWindow(service);
        repeats.add(amount, nowMs);
        groupRepeats.add(amount, nowMs);
        ownRepeats.add(amount, nowMs);
    }

    /** Reports that are not older than `sinceMs`; forgets the others. */
    private listPeerCounts(service: string, sinceMs: number): readonly PeerCount[] {
        const peers = this.peerCounts.get(service) ?? new Map<string, PeerCount>();
        for (const [key, { atMs }] of peers) {
            if (atMs < sinceMs) {
                peers.delete(key);
            }
        }
        return [...peers.values()];
    }

    /**
     * Repeats that the group has not told yet. It is taken to go on as it did, for as long as the reports are old, or to
     * do as this daemon does, because a fault that makes requests fail here makes them fail there too.
     */
    private computeUnreported(
        { groupRepeats, ownRepeats }: ServiceCounters,
        sinceMs: number,
        nowMs: number,
    ): number {
        let shares = 0;
        for (const [daemonId, atMs] of this.reportedAtMs) {
            if (atMs < sinceMs) {
                this.reportedAtMs.delete(daemonId);
            }
            else {
                shares += Math.min(1, growthMargin * (nowMs - atMs) / reportDelayMs);
            }
        }
        const asBefore = groupRepeats.get(nowMs) * shares / Math.max(1, this.reportedAtMs.size);
        return Math.max(asBefore, ownRepeats.get(nowMs) * shares);
    }

    private getWindow(service: string): ServiceCounters {
        let window = this.counters.get(service);
        if (window === undefined) {
            const { windowMs } = this.options.getBounds();
            window = {
                requests: new SlidingWindowCounter(windowMs),
                repeats: new SlidingWindowCounter(windowMs),
                groupRepeats: new SlidingWindowCounter(reportDelayMs),
                ownRepeats: new SlidingWindowCounter(reportDelayMs),
            };
            this.counters.set(service, window);
        }
        return window;
    }
}
