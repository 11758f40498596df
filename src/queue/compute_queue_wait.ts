/**
 * Estimates the time in milliseconds until `workMs` of queued work has started on slots that become free
 * after the given times. Treats the work as divisible (fluid approximation), which is exact for many small
 * requests and slightly low for few large ones.
 */
export function computeQueueWait(slotFreeInMs: readonly number[], workMs: number): number {
    const sorted = [...slotFreeInMs].sort((left, right) => left - right);
    let sumMs = workMs;
    let waitMs = Infinity;
    for (const [index, freeMs] of sorted.entries()) {
        if (waitMs <= freeMs) {
            break;
        }
        sumMs += freeMs;
        waitMs = sumMs / (index + 1);
    }
    return waitMs;
}
