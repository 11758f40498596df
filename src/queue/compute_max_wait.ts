import type { OwnerRequest } from "./owner_request.ts";

/** Multiple of its service time that work waits at most when it has missed its target before. */
const minWaitFactor = 0.5;
/** Multiple of its target in which small work is answered at the latest. */
const smallRequestTargetFactor = 1.5;
/** Share of the mean service time of the running work up to which a request is small beside it. */
const smallRequestRatio = 0.5;

interface WaitInputs {
    /** Expected service time of the request. */
    readonly serviceMs: number;
    /** Mean expected service time of the work that holds the slots; 0 when they are free. */
    readonly runningMeanMs: number;
    /** Monotonic. */
    readonly nowMs: number;
}

/**
 * Longest wait in milliseconds with which a request is admitted. A queue that admits only work that it can answer within
 * the target of its route refuses the rest at once and stays short; the answers that it gives have their full value.
 * Small idempotent work may be late: it hardly delays others, and is mostly a call on which larger work depends. It may
 * not be very late, because that larger work holds a slot meanwhile.
 */
export function computeMaxWait(
    { deadlineMs, receivedAtMs, route }: OwnerRequest,
    { nowMs, runningMeanMs: runningMs, serviceMs }: WaitInputs,
): number {
    if (route.targetMs === 0) {
        return Infinity;
    }
    const isSmall = route.idempotent && serviceMs <= smallRequestRatio * runningMs;
    const endMs = Math.min(
        deadlineMs,
        receivedAtMs + (isSmall ? smallRequestTargetFactor : 1) * route.targetMs,
    );
    return Math.max(endMs - nowMs - serviceMs, minWaitFactor * serviceMs);
}
