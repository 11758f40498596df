/**
 * Places of the daemons as lenders for each organisation, from the list of daemons alone.
 *
 * Daemons with the same list compute the same places. A daemon whose place is new waits until the former
 * lender, if it still runs with an older list, has stopped lending because its list is too old.
 *
 * @example
 * ```ts
 * const directory = new LenderDirectory({ daemonId, startedAtMs, getDaemons });
 * directory.update(nowMs);
 * const [lender] = directory.listRanked("organisation-1");
 * ```
 *
 * @module
 */
import { computeRendezvousScore } from "../gossip/compute_rendezvous_score.ts";
import type { DaemonInfo } from "../membership/daemon_info.ts";
import { computePairScore } from "./compute_pair_score.ts";

interface Options {
    readonly daemonId: string;
    /** Start of this process in monotonic milliseconds. */
    readonly startedAtMs: number;
    /** The same map until the list changes. */
    readonly getDaemons: () => ReadonlyMap<string, DaemonInfo>;
    /** Milliseconds after which the former lender of a place has stopped. */
    readonly placeDelayMs: number;
    /** Milliseconds for which the largest list divides the floor after a smaller one replaced it. */
    readonly floorListMs: number;
}

interface KnownList {
    readonly ids: readonly string[];
    readonly sinceMs: number;
}

/** Milliseconds for which replaced lists are kept; windows of up to 100 s need no older ones. */
const historyMs = 110_000;
/**
 * Milliseconds after the start in which a changed list counts as the first one. Daemons that start together see
 * the list grow, and would all wait for lenders that never were.
 */
const learnMs = 5_000;
/** Replaced lists that are kept; a fleet of 300 daemons starts with one list for each. */
const maxHistory = 400;
/** Daemons that are ranked for an organisation. */
const maxRanked = 8;
/** Organisations whose places are kept, and daemons whose hashes are. */
const maxCached = 1_000;

/** Ranks daemons by rendezvous hashing and remembers recent lists. */
export class LenderDirectory {
    private daemons: ReadonlyMap<string, DaemonInfo> = new Map();
    /** Oldest first; the last one is in force. */
    private readonly lists: KnownList[] = [];
    private historyStartMs: number;
    /** The list that divides the floor. */
    private floorIds: readonly string[] = [];
    /** Time at which a smaller list replaced it; undefined while it is in force. */
    private floorReplacedAtMs: number | undefined;
    /** Hashes of identifiers. */
    private readonly hashes = new Map<string, number>();
    private readonly ranked = new Map<string, readonly DaemonInfo[]>();
    private readonly floorRanks = new Map<string, number>();
    private readonly lendingSinceMs = new Map<string, number | undefined>();

    constructor(private readonly options: Options) {
        this.historyStartMs = options.startedAtMs;
    }

    /** Takes over a changed list. Must be called before the other methods. */
    update(nowMs: number): void {
        const daemons = this.options.getDaemons();
        if (daemons === this.daemons) {
            this.updateFloorList(nowMs);
            return;
        }
        const ids = [...daemons.keys()];
        const hasSameIds = ids.length === this.daemons.size && ids.every(id => this.daemons.has(id));
        this.daemons = daemons;
        this.ranked.clear();
        this.lendingSinceMs.clear();
        if (!hasSameIds) {
            if (nowMs - this.options.startedAtMs < learnMs) {
                this.lists.length = 0;
                // A place that moves now was another daemon's until now.
                this.historyStartMs = nowMs;
            }
            this.lists.push({ ids, sinceMs: nowMs });
            this.removeOldLists(nowMs);
        }
        this.updateFloorList(nowMs);
    }

    /**
     * Size of the largest list that was in force until the former lender of a place has stopped and `lentWindowMs`
     * has passed since. While a list shrinks, a lender does not take over the share of another that may still run.
     */
    getDaemonCount(lentWindowMs: number, nowMs: number): number {
        const sinceNeededMs = nowMs - this.options.placeDelayMs - lentWindowMs;
        let count = 0;
        for (const { ids, sinceMs } of this.lists.toReversed()) {
            count = Math.max(count, ids.length);
            if (sinceMs < sinceNeededMs) {
                break;
            }
        }
        return count;
    }

    /** The first daemons for an organisation, the first lender first; more than lend in any case. */
    listRanked(organisation: string): readonly DaemonInfo[] {
        return getCached(this.ranked, organisation, () => this.computeRanked(organisation));
    }

    /**
     * Monotonic milliseconds from which on no other process lends in the place of this daemon, which may lie
     * ahead; undefined when it is not among the first `lenders`.
     */
    getLendingSinceMs(organisation: string, lenders: number): number | undefined {
        return getCached(
            this.lendingSinceMs,
            `${lenders} ${organisation}`,
            () => this.computeLendingSinceMs(organisation, lenders),
        );
    }

    /** Number of daemons between which the floor is divided. */
    getFloorCount(): number {
        return this.floorIds.length;
    }

    /**
     * Place of this daemon among those that share the floor of an organisation, the least likely lender first;
     * -1 when it is not one of them.
     */
    getFloorRank(organisation: string): number {
        return getCached(this.floorRanks, organisation, () => {
            const { daemonId } = this.options;
            const group = computeRendezvousScore(organisation, "");
            const own = this.getScore(group, daemonId);
            return this.floorIds.includes(daemonId)
                ? this.floorIds.filter(id => {
                    const score = this.getScore(group, id);
                    return score < own || (score === own && id > daemonId);
                }).length
                : -1;
        });
    }

    private computeRanked(organisation: string): readonly DaemonInfo[] {
        const group = computeRendezvousScore(organisation, "");
        const scored = [...this.daemons.values()].map(daemon => ({
            daemon,
            score: this.getScore(group, daemon.id),
        }));
        scored.sort((left, right) => right.score - left.score || (left.daemon.id < right.daemon.id ? -1 : 1));
        return scored.slice(0, maxRanked).map(({ daemon }) => daemon);
    }

    private computeLendingSinceMs(organisation: string, lenders: number): number | undefined {
        const { daemonId, placeDelayMs, startedAtMs } = this.options;
        const group = computeRendezvousScore(organisation, "");
        const own = this.getScore(group, daemonId);
        let seatedSinceMs: number | undefined;
        for (const { ids, sinceMs } of this.lists.toReversed()) {
            const before = ids.filter(id => {
                const score = this.getScore(group, id);
                return score > own || (score === own && id < daemonId);
            });
            if (before.length >= lenders || !ids.includes(daemonId)) {
                return seatedSinceMs === undefined ? undefined : seatedSinceMs + placeDelayMs;
            }
            seatedSinceMs = sinceMs;
        }
        return seatedSinceMs === undefined ? undefined : Math.max(startedAtMs, this.historyStartMs);
    }

    private getScore(group: number, id: string): number {
        return computePairScore(group, getCached(this.hashes, id, () => computeRendezvousScore("", id)));
    }

    private updateFloorList(nowMs: number): void {
        const ids = this.lists.at(-1)?.ids ?? [];
        const isExpired = this.floorReplacedAtMs !== undefined
            && nowMs - this.floorReplacedAtMs > this.options.floorListMs;
        if (ids.length >= this.floorIds.length || isExpired) {
            if (ids !== this.floorIds) {
                this.floorRanks.clear();
            }
            this.floorIds = ids;
            this.floorReplacedAtMs = undefined;
        }
        else {
            this.floorReplacedAtMs ??= nowMs;
        }
    }

    private removeOldLists(nowMs: number): void {
        while (
            this.lists.length > maxHistory || (this.lists[1]?.sinceMs ?? Infinity) < nowMs - historyMs
        ) {
            this.lists.shift();
            const sinceMs = this.lists[0]?.sinceMs ?? nowMs;
            this.historyStartMs = Math.max(this.historyStartMs, sinceMs + this.options.placeDelayMs);
        }
    }
}

function getCached<Value>(cache: Map<string, Value>, key: string, compute: () => Value): Value {
    if (cache.has(key)) {
        return cache.get(key)!;
    }
    if (cache.size >= maxCached) {
        cache.clear();
    }
    const value = compute();
    cache.set(key, value);
    return value;
}
