import type { SelectionContext } from "./selection_context.ts";
import type { UpstreamView } from "./upstream_view.ts";

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
 * Expected loss by the wait for a slot. An answer after its target has lost most of its value, one after the
 * deadline all of it.
 */
export function computeWaitLoss(
    view: UpstreamView,
    { background, nowMs, request }: Pick<SelectionContext, "background" | "nowMs" | "request">,
): number {
    const { deadlineMs, receivedAtMs, route } = request;
    const { freshness, fullProbability, load } = view.computeOccupancy(background, nowMs);
    const targetMs = route.targetMs > 0 ? route.targetMs : route.deadlineMs;
    const serviceMs = serviceShare * targetMs;
    const waitMs = Math.max(freshness * view.load.getWaitMs(), (load - 1) * serviceMs);
    if (load >= 1 && nowMs + waitMs + serviceMs >= deadlineMs) {
        return 1;
    }
    const slackMs = Math.max(minSlackMs, receivedAtMs + targetMs - nowMs - serviceMs);
    return fullProbability * (fullLoss + lateLoss * Math.min(1, Math.max(0, waitMs) / slackMs) ** 2);
}
