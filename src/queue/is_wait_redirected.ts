import { WorkClass } from "../core/work_class.ts";
import type { OwnerRequest } from "./owner_request.ts";

/**
 * Multiple of its mean service time up to which a redirectable short request waits. A redirect costs one
 * round trip between daemons; docs/measurements.md compares the figures.
 */
const redirectWaitFactor = 0.5;

/** True when the entry daemon should try another upstream rather than wait here for `waitMs`. */
export function isWaitRedirected(
    { redirectable, route }: OwnerRequest,
    waitMs: number,
    serviceMs: number,
): boolean {
    return redirectable === true && route.workClass === WorkClass.Short &&
        waitMs > redirectWaitFactor * serviceMs;
}
