import { suspicion } from "../health/suspicion.ts";
import type { SelectionPurpose } from "./selection_purpose.ts";
import type { UpstreamView } from "./upstream_view.ts";

/** Part of the requests which a failing trial loses that make trials all the same. */
const singleTrialShare = 0.1;

interface Options {
    /** True for an upstream of the own failure domain. */
    readonly isNear: boolean;
    /** Lot in [0, 1). */
    readonly draw: number;
}

/**
 * Decides whether the request tries a suspected upstream: always when it may learn and nothing was heard for a while,
 * otherwise by lot, so that only some of the senders that know the same try. Other failure domains leave the trials to
 * the senders there until the belief shows that these make none.
 */
export function isTrialDue(
    view: UpstreamView,
    { canLearn, isRepeatable, nowMs, trialLimit }: SelectionPurpose,
    { draw, isNear }: Options,
): boolean {
    const probability = view.getFaultProbability(nowMs);
    const share = isRepeatable ? 1 : singleTrialShare;
    return probability <= (isNear ? trialLimit : suspicion.foreignTrialLimit)
        && ((canLearn && view.getAgeMs(nowMs) >= suspicion.trialMs) || draw < share * (1 - probability));
}
