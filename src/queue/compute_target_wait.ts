import type { OwnerRequest } from "./owner_request.ts";

/**
 * Wait in milliseconds above which a queue sheds. It is at least one service time, which work in a queue behind busy
 * slots waits anyway, and leaves half of the time in which the answer should arrive.
 */
export function computeTargetWait({ service, route }: OwnerRequest, serviceMs: number): number {
    return Math.max(service.limits.targetWaitMs, serviceMs, route.targetMs / 2);
}
