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
const decayMs = 1_000;

interface DecayedSum {
    /** Sum of the faded expected service times. */
    workMs: number;
    updatedAtMs: number;
}

/** Arrivals by priority. */
export class PriorityLoad {
    private readonly sumsByPriority = new Map<number, DecayedSum>();

    /** Counts an arrival with its expected service time. */
    record(priority: number, costMs: number, nowMs: number): void {
        const rank = this.sumsByPriority.get(priority) ?? { workMs: 0, updatedAtMs: nowMs };
        rank.workMs = computeDecayed(rank, nowMs) + costMs;
        rank.updatedAtMs = nowMs;
        this.sumsByPriority.set(priority, rank);
    }

    /** Slots that work of more urgent priorities needs on average. */
    getMoreUrgentSlots(priority: number, nowMs: number): number {
        let workMs = 0;
        for (const [other, rank] of this.sumsByPriority) {
            workMs += other < priority ? computeDecayed(rank, nowMs) : 0;
        }
        return workMs / decayMs;
    }
}

function computeDecayed(rank: DecayedSum, nowMs: number): number {
    return rank.workMs * Math.exp(-(nowMs - rank.updatedAtMs) / decayMs);
}
