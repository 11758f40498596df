import type { OwnerRequest } from "./owner_request.ts";

/**
 * Lower bound of the result, as a multiple of the service time; applies to requests that miss their target.
 */
const minWaitFactor = 0.5;
/** Multiple of the target within which a small request must be answered. */
const smallRequestTargetFactor = 1.5;
/** A request is small if its service time is at most this fraction of the mean of the running requests. */
const smallRequestRatio = 0.5;

interface WaitInputs {
    /** Expected service time of the request. */
    readonly serviceMs: number;
    /** Mean expected service time of the requests that hold slots; 0 when no slot is in use. */
    readonly runningMeanMs: number;
    /** Monotonic. */
    readonly nowMs: number;
}

/**
 * Longest expected wait in milliseconds with which a request is admitted. Requests that cannot be answered
 * within the target of their route are refused at once, which keeps the queue short and the admitted requests
 * in time. Small idempotent requests may exceed the target: they hardly delay others, and a larger request
 * usually depends on them. The excess is limited because that larger request holds a slot meanwhile.
 */
export function computeMaxWait(
    { deadlineMs, receivedAtMs, route }: OwnerRequest,
    { nowMs, runningMeanMs, serviceMs }: WaitInputs,
): number {
    if (route.targetMs === 0) {
        return Infinity;
    }
    const isSmall = route.idempotent && serviceMs <= smallRequestRatio * runningMeanMs;
    const latestEndMs = Math.min(
        deadlineMs,
        receivedAtMs + (isSmall ? smallRequestTargetFactor : 1) * route.targetMs,
    );
    return Math.max(latestEndMs - nowMs - serviceMs, minWaitFactor * serviceMs);
}
