/**
 * Retry budget of each service that holds for the whole fleet.
 *
 * The fleet may retry a percentage of its requests, plus a fixed number of retries in each window. The
 * daemons of a group report their recent attempts to each other and share one allowance. The fixed number is
 * divided between the groups by their size, without communication between groups. The share of a daemon that
 * does not report stays reserved for it; until a new daemon has reported, each daemon also stays within its
 * own share.
 *
 * @example
 * ```ts
 * const getBounds = () => ({ percent: 20, slack: 64, windowMs: 10_000 });
 * const budget = new FleetRetryBudget({ clock, getBounds, getGroupShare, getGroupPeerIds, isListed });
 * budget.recordPeerCounts("daemon-2", "incarnation", counts);
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
    /** Fraction of all daemons that report their counts to this one, including this one. */
    readonly getGroupShare: () => number;
    /** The other daemons that report their counts to this one; the same set until they change. */
    readonly getGroupPeerIds: () => ReadonlySet<string>;
    /** True for a daemon of the fleet, in any group. */
    readonly isListed: (daemonId: string) => boolean;
}

/** Recent attempts of one service; `repeats` are the attempts after the first. */
interface ServiceCounters {
    readonly requests: SlidingWindowCounter;
    readonly repeats: SlidingWindowCounter;
    /** Repeats of the group, including this daemon, that were counted within `reportDelayMs`. */
    readonly groupRepeats: SlidingWindowCounter;
    /** Repeats of this daemon that were counted within `reportDelayMs`. */
    readonly ownRepeats: SlidingWindowCounter;
}

/** Last report of another daemon about one service. */
interface PeerCount {
    readonly daemonId: string;
    readonly requests: number;
    readonly repeats: number;
    readonly atMs: number;
}

/**
 * Fraction of the allowed retries that the daemons use. The rest covers retries that are reported late, and
 * calls that upstreams make again while they run a retried request.
 */
const usableShare = 0.9;
/**
 * Maximum time in milliseconds until a count has reached the daemons of a group. A daemon has seven peers,
 * and two of them report to it in each period of 300 ms: one that it probes and one that probes it.
 */
const reportDelayMs = 1_050;
/** Factor on the estimated unreported repeats, because repeats that have begun to rise keep rising. */
const growthMargin = 1.5;

/** Counts the attempts of a group of daemons over a sliding window. */
export class FleetRetryBudget implements RetryBudget, AttemptCountExchange {
    private readonly countersByService = new Map<string, ServiceCounters>();
    /** Reports by service, then by daemon and incarnation: the attempts of an ended process still count. */
    private readonly peerCounts = new Map<string, Map<string, PeerCount>>();
    /** Time of the last report of each daemon. */
    private readonly reportedAtMs = new Map<string, number>();
    private groupPeerIds: ReadonlySet<string> = new Set();
    /** Time at which this daemon first saw each peer in its group. */
    private joinedAtMs: ReadonlyMap<string, number> = new Map();

    constructor(private readonly options: Options) {}

    add(service: string): void {
        this.getCounters(service).requests.add(1, this.options.clock.getMonotonicMs());
    }

    has(service: string, share = 1): boolean {
        const { clock, getBounds, getGroupShare } = this.options;
        const { percent, slack, windowMs } = getBounds();
        const nowMs = clock.getMonotonicMs();
        this.updateGroup(nowMs);
        const counters = this.getCounters(service);
        let requests = counters.requests.get(nowMs);
        let repeats = counters.repeats.get(nowMs);
        const slackPerDaemon = slack * getGroupShare() / (1 + this.groupPeerIds.size);
        const ownAllowed = requests * percent / 100 + slackPerDaemon;
        if (this.isAwaitingReport(nowMs - windowMs) && repeats + 1 > share * usableShare * ownAllowed) {
            return false;
        }
        for (const count of this.listPeerCounts(service, nowMs - windowMs)) {
            requests += count.requests;
            repeats += count.repeats;
        }
        const unreportedRepeats = this.computeUnreportedRepeats(counters, nowMs - windowMs, nowMs);
        const allowed = requests * percent / 100 +
            slackPerDaemon * (1 + this.countReporting(nowMs - windowMs));
        return repeats + unreportedRepeats + 1 <= share * usableShare * allowed;
    }

    take(service: string): boolean {
        if (!this.has(service)) {
            return false;
        }
        this.addRepeats(service, 1);
        return true;
    }

    addRepeat(service: string): void {
        this.addRepeats(service, 1);
    }

    release(service: string): void {
        this.addRepeats(service, -1);
    }

    /** Recent attempts of this daemon, to report to its group; services with repeats come first. */
    listCounts(limit: number): readonly ServiceCount[] {
        const nowMs = this.options.clock.getMonotonicMs();
        const counts = [...this.countersByService].map(([service, { repeats, requests }]) => ({
            service,
            requests: requests.get(nowMs),
            repeats: Math.max(0, repeats.get(nowMs)),
        }));
        const listed = counts.filter(({ repeats, requests }) => requests > 0 || repeats > 0)
            .sort((left, right) => Math.sign(right.repeats) - Math.sign(left.repeats))
            .slice(0, limit);
        for (const { service } of listed) {
            // Moves the service to the end, so that all services are reported in turn.
            const counters = this.getCounters(service);
            this.countersByService.delete(service);
            this.countersByService.set(service, counters);
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
                this.getCounters(service).groupRepeats.add(added, atMs);
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
     * The requests of a daemon that moved to another group now raise the allowance there. Those of a daemon
     * that left the fleet are counted in no other group and stay. The repeats of both used the allowance of
     * this group.
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
     * True while a daemon that recently joined the group has not reported. Its attempts are unknown then, and
     * it may not know of this daemon either. After a whole window without a report, only its share stays
     * reserved.
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
        const { groupRepeats, ownRepeats, repeats } = this.getCounters(service);
        repeats.add(amount, nowMs);
        groupRepeats.add(amount, nowMs);
        ownRepeats.add(amount, nowMs);
    }

    /** Reports that are not older than `sinceMs`; removes the others. */
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
     * Estimates the repeats that the group has not reported yet. While the reports are outdated, the group is
     * assumed to continue at its recent rate, or at the rate of this daemon if that is higher, because a
     * fault that makes requests fail here makes them fail there too.
     */
    private computeUnreportedRepeats(
        { groupRepeats, ownRepeats }: ServiceCounters,
        sinceMs: number,
        nowMs: number,
    ): number {
        let unreportedShares = 0;
        for (const [daemonId, atMs] of this.reportedAtMs) {
            if (atMs < sinceMs) {
                this.reportedAtMs.delete(daemonId);
            }
            else {
                unreportedShares += Math.min(1, growthMargin * (nowMs - atMs) / reportDelayMs);
            }
        }
        const atGroupRate = groupRepeats.get(nowMs) * unreportedShares / Math.max(1, this.reportedAtMs.size);
        // A returned repeat is subtracted later than it was counted, which can make a short window negative.
        return Math.max(0, atGroupRate, ownRepeats.get(nowMs) * unreportedShares);
    }

    private getCounters(service: string): ServiceCounters {
        let counters = this.countersByService.get(service);
        if (counters === undefined) {
            const { windowMs } = this.options.getBounds();
            counters = {
                requests: new SlidingWindowCounter(windowMs),
                repeats: new SlidingWindowCounter(windowMs),
                groupRepeats: new SlidingWindowCounter(reportDelayMs),
                ownRepeats: new SlidingWindowCounter(reportDelayMs),
            };
            this.countersByService.set(service, counters);
        }
        return counters;
    }
}
