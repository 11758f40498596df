import { suspicionLimits } from "../health/suspicion_limits.ts";
import type { SelectionContext } from "./selection_context.ts";
import type { UpstreamView } from "./upstream_view.ts";

/** Part of the requests which a failing trial loses that make trials all the same. */
const singleTrialShare = 0.1;

interface Options {
    /** True for an upstream of the own failure domain. */
    readonly isLocal: boolean;
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
    { canExplore, isRetryable, nowMs, trialLimit }: SelectionContext,
    { draw, isLocal }: Options,
): boolean {
    const probability = view.getFaultProbability(nowMs);
    const share = isRetryable ? 1 : singleTrialShare;
    return probability <= (isLocal ? trialLimit : suspicionLimits.remoteTrialLimit)
        && ((canExplore && view.getStalenessMs(nowMs) >= suspicionLimits.trialIntervalMs) ||
            draw < share * (1 - probability));
}
