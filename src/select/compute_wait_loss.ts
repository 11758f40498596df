import type { RoutedRequest } from "../route/routed_request.ts";
import type { ObservedLoad } from "./observed_load.ts";

/**
 * Losses of an upstream without a free slot and of an answer after the target, as fractions of a request's
 * value.
 */
const fullLoss = 0.05;
const lateLoss = 0.45;
/** Lower bound of the milliseconds left before the target, so that waits stay comparable after the target. */
const minSlackMs = 50;
/** Assumed service time as a fraction of the target. */
const serviceShare = 0.25;

/**
 * Loss by the wait for a slot. An answer after its target has lost most of its value, one after the deadline
 * all of it. `nowMs` is monotonic.
 */
export function computeWaitLoss(
    load: ObservedLoad,
    { deadlineMs, receivedAtMs, route }: RoutedRequest,
    nowMs: number,
): number {
    const requests = load.measure(nowMs);
    if (requests < 1) {
        return 0;
    }
    const targetMs = route.targetMs > 0 ? route.targetMs : route.deadlineMs;
    const serviceMs = serviceShare * targetMs;
    const waitMs = Math.max(load.getWaitMs(), (requests - 1) * serviceMs);
    if (nowMs + waitMs + serviceMs >= deadlineMs) {
        return 1;
    }
    const slackMs = Math.max(minSlackMs, receivedAtMs + targetMs - nowMs - serviceMs);
    return fullLoss + lateLoss * Math.min(1, waitMs / slackMs) ** 2;
}
