import { suspicion } from "../health/suspicion.ts";
import type { SelectionPurpose } from "./selection_purpose.ts";
import type { UpstreamView } from "./upstream_view.ts";

/** Part of the requests which a failing trial loses that make trials all the same. */
const singleTrialShare = 0.1;

/**
 * Decides whether the request tries a suspected upstream: always when it may learn and nothing was heard for a while,
 * otherwise by lot (`draw` in [0, 1)), so that only some of the senders that know the same try.
 */
export function isTrialDue(
    view: UpstreamView,
    { canLearn, isRepeatable, nowMs, trialLimit }: SelectionPurpose,
    draw: number,
): boolean {
    const probability = view.getFaultProbability(nowMs);
    const share = isRepeatable ? 1 : singleTrialShare;
    return probability <= trialLimit
        && ((canLearn && view.getAgeMs(nowMs) >= suspicion.trialMs) || draw < share * (1 - probability));
}
