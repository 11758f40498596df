/**
 * Recent load that the requests of each priority put on an upstream, in slots.
 *
 * @example
 * ```ts
 * load.record(1, 48, nowMs);
 * const slots = load.getMoreUrgentSlots(2, nowMs);
 * ```
 *
 * @module
 */

/** Milliseconds in which an arrival decays to 1/e. Bursts of urgent requests last for seconds. */
const decayMs = 1_000;

interface DecayedSum {
    /** Exponentially decayed sum of the expected service times. */
    workMs: number;
    updatedAtMs: number;
}

/** Exponentially decayed load by priority. */
export class PriorityLoad {
    private readonly sumsByPriority = new Map<number, DecayedSum>();

    /** Adds an arrival with its expected service time. */
    record(priority: number, costMs: number, nowMs: number): void {
        const sum = this.sumsByPriority.get(priority) ?? { workMs: 0, updatedAtMs: nowMs };
        sum.workMs = computeDecayed(sum, nowMs) + costMs;
        sum.updatedAtMs = nowMs;
        this.sumsByPriority.set(priority, sum);
    }

    /** Mean number of slots that requests of more urgent priorities need. */
    getMoreUrgentSlots(priority: number, nowMs: number): number {
        let workMs = 0;
        for (const [other, sum] of this.sumsByPriority) {
            workMs += other < priority ? computeDecayed(sum, nowMs) : 0;
        }
        return workMs / decayMs;
    }
}

function computeDecayed(sum: DecayedSum, nowMs: number): number {
    return sum.workMs * Math.exp(-(nowMs - sum.updatedAtMs) / decayMs);
}
