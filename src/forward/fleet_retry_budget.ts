/**
 * Retry budget of each service that holds for the whole fleet.
 *
 * The fleet may send a share of its requests once more, and a fixed number of further attempts in each window. The
 * daemons of a failure domain tell each other how many attempts they have sent and use their part together; the fixed
 * number is divided equally between the failure domains, which do not talk about it.
 *
 * @example
 * ```ts
 * const getBounds = () => ({ percent: 20, slack: 64, windowMs: 10_000 });
 * const budget = new FleetRetryBudget({ clock, getBounds, countDomains: () => 3 });
 * budget.recordPeer("daemon-2", "incarnation", counts);
 * ```
 *
 * @module
 */
import type { CountExchange } from "../beacon/count_exchange.ts";
import type { Clock } from "../core/clock.ts";
import type { RetryBounds } from "./retry_bounds.ts";
import type { RetryBudget } from "./retry_budget.ts";
import type { ServiceCount } from "./service_count.ts";
import { SlidingCount } from "./sliding_count.ts";

interface Options {
    readonly clock: Clock;
    readonly getBounds: () => RetryBounds;
    readonly countDomains: () => number;
}

/** Attempts of one service that the daemons of the failure domain have sent lately. */
interface Window {
    readonly requests: SlidingCount;
    readonly repeats: SlidingCount;
}

interface Counts {
    requests: number;
    repeats: number;
}

/**
 * Part of the allowed attempts that the daemons use. The rest covers what they learn too late, and calls that a
 * repeated request makes again.
 */
const usedShare = 0.9;

/** Counts the attempts of a failure domain over a sliding window. */
export class FleetRetryBudget implements RetryBudget, CountExchange {
    private readonly windows = new Map<string, Window>();
    private readonly own = new Map<string, Counts>();
    private readonly peers = new Map<string, Map<string, Counts>>();

    constructor(private readonly options: Options) {}

    add(service: string): void {
        this.getOwn(service).requests += 1;
        this.getWindow(service).requests.add(1, this.options.clock.getMonotonicMs());
    }

    has(service: string, share = 1): boolean {
        const { clock, countDomains, getBounds } = this.options;
        const { percent, slack } = getBounds();
        const nowMs = clock.getMonotonicMs();
        const { repeats, requests } = this.getWindow(service);
        const allowed = requests.get(nowMs) * percent / 100 + slack / Math.max(1, countDomains());
        return repeats.get(nowMs) + 1 <= share * usedShare * allowed;
    }

    take(service: string): boolean {
        if (!this.has(service)) {
            return false;
        }
        this.getOwn(service).repeats += 1;
        this.getWindow(service).repeats.add(1, this.options.clock.getMonotonicMs());
        return true;
    }

    release(service: string): void {
        this.getOwn(service).repeats -= 1;
        this.getWindow(service).repeats.add(-1, this.options.clock.getMonotonicMs());
    }

    /** What this daemon has sent, for the other daemons of its failure domain. */
    listCounts(): readonly ServiceCount[] {
        return [...this.own].map(([service, counts]) => ({ service, ...counts }));
    }

    /** Takes the counts of another daemon of the failure domain, which begin at 0 with each incarnation. */
    recordPeer(daemonId: string, incarnation: string, counts: readonly ServiceCount[]): void {
        const nowMs = this.options.clock.getMonotonicMs();
        const key = `${daemonId} ${incarnation}`;
        const known = this.peers.get(key) ?? new Map<string, Counts>();
        for (const { repeats, requests, service } of counts) {
            const before = known.get(service) ?? { requests: 0, repeats: 0 };
            const window = this.getWindow(service);
            window.requests.add(requests - before.requests, nowMs);
            window.repeats.add(repeats - before.repeats, nowMs);
            known.set(service, { requests, repeats });
        }
        if (!this.peers.has(key)) {
            this.removePeer(daemonId);
            this.peers.set(key, known);
        }
    }

    /** Forgets the earlier incarnations of a daemon. */
    private removePeer(daemonId: string): void {
        for (const key of [...this.peers.keys()].filter(known => known.startsWith(`${daemonId} `))) {
            this.peers.delete(key);
        }
    }

    private getWindow(service: string): Window {
        let window = this.windows.get(service);
        if (window === undefined) {
            const { windowMs } = this.options.getBounds();
            window = { requests: new SlidingCount(windowMs), repeats: new SlidingCount(windowMs) };
            this.windows.set(service, window);
        }
        return window;
    }

    private getOwn(service: string): Counts {
        let counts = this.own.get(service);
        if (counts === undefined) {
            counts = { requests: 0, repeats: 0 };
            this.own.set(service, counts);
        }
        return counts;
    }
}
