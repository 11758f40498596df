/**
 * Load that urgent work has put on an upstream lately, in slots.
 *
 * @example
 * ```ts
 * load.record(1, 48, nowMs);
 * const slots = load.getAbove(2, nowMs);
 * ```
 *
 * @module
 */

/** Milliseconds in which an arrival fades to 1/e. Bursts of urgent work last for seconds. */
const fadeMs = 1_000;

interface Rank {
    /** Sum of the faded expected service times. */
    workMs: number;
    updatedAtMs: number;
}

/** Arrivals by priority. */
export class UrgentLoad {
    private readonly ranks = new Map<number, Rank>();

    /** Counts an arrival with its expected service time. */
    record(priority: number, costMs: number, nowMs: number): void {
        const rank = this.ranks.get(priority) ?? { workMs: 0, updatedAtMs: nowMs };
        rank.workMs = computeFaded(rank, nowMs) + costMs;
        rank.updatedAtMs = nowMs;
        this.ranks.set(priority, rank);
    }

    /** Slots that work of more urgent priorities needs on average. */
    getAbove(priority: number, nowMs: number): number {
        let workMs = 0;
        for (const [other, rank] of this.ranks) {
            workMs += other < priority ? computeFaded(rank, nowMs) : 0;
        }
        return workMs / fadeMs;
    }
}

function computeFaded(rank: Rank, nowMs: number): number {
    return rank.workMs * Math.exp(-(nowMs - rank.updatedAtMs) / fadeMs);
}
