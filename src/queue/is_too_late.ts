import type { OwnerRequest } from "./owner_request.ts";

/** Multiple of its service time that work waits at most when it has missed its target before. */
const lateWait = 0.5;

/**
 * True when the wait would make the answer miss the target of its route. A queue that admits only work that it can
 * answer in time refuses the rest at once and stays short; the answers that it gives have their full value.
 */
export function isTooLate(
    { receivedAtMs, route }: OwnerRequest,
    waitMs: number,
    serviceMs: number,
    nowMs: number,
): boolean {
    if (route.targetMs === 0) {
        return false;
    }
    const spareMs = receivedAtMs + route.targetMs - nowMs - serviceMs;
    return waitMs > Math.max(spareMs, lateWait * serviceMs);
}
