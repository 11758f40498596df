/** Fraction of its full weight with which a new or returned upstream starts. */
const startWeight = 0.1;

/** Slow start: weight of an upstream in selection, from 0.1 at `sinceMs` to 1 after `rampMs`. */
export function computeWeight(sinceMs: number, nowMs: number, rampMs: number): number {
    if (rampMs <= 0) {
        return 1;
    }
    const progress = Math.min(1, Math.max(0, (nowMs - sinceMs) / rampMs));
    return startWeight + (1 - startWeight) * progress;
}
