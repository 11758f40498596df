import type { RoutedRequest } from "../route/routed_request.ts";
import type { ObservedLoad } from "./observed_load.ts";

/** Loss of an upstream whose slots are all taken, and of an answer after the target, in shares of a request's value. */
const fullLoss = 0.05;
const lateLoss = 0.65;
/** Milliseconds before the target that are always assumed to be left, so that waits stay comparable after it. */
const minSpareMs = 50;
/** Share of the target that one request usually takes. */
const serviceShare = 0.25;

/**
 * Loss by the wait for a slot: an answer after its target has lost most of its value, one after the deadline all of it.
 * `nowMs` is monotonic.
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
    const spareMs = Math.max(minSpareMs, receivedAtMs + targetMs - nowMs - serviceMs);
    return fullLoss + lateLoss * Math.min(1, waitMs / spareMs) ** 2;
}
