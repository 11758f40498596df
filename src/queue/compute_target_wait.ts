import type { OwnerRequest } from "./owner_request.ts";

/**
 * Wait in milliseconds above which a queue sheds load. It is at least one service time, because a request
 * behind busy slots waits that long anyway, and at least half of the time in which the answer should arrive.
 */
export function computeTargetWait({ service, route }: OwnerRequest, serviceMs: number): number {
    return Math.max(service.limits.targetWaitMs, serviceMs, route.targetMs / 2);
}
