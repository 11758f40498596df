import { suspicionLimits } from "../health/suspicion_limits.ts";
import type { SelectionContext } from "./selection_context.ts";
import type { UpstreamView } from "./upstream_view.ts";

/**
 * Probability that a request which cannot be retried serves as a trial request; its failure reaches the
 * caller.
 */
const nonRetryableTrialShare = 0.1;

interface Options {
    /** True for an upstream of the local failure domain. */
    readonly isLocal: boolean;
    /** Random number in [0, 1). */
    readonly randomNumber: number;
}

/**
 * Decides whether the request is a trial request to a suspected upstream. It is one when it may explore and
 * the upstream has not been tried or reported for the trial interval. Otherwise it is one at random, so that
 * only some of the entry daemons with the same information send one, and in the own failure domain no more often
 * than their pacing allows. Trial requests come from the upstream's
 * own failure domain until its fault probability has decayed so far that none can have been sent there.
 */
export function isTrialDue(
    view: UpstreamView,
    { canExplore, canTry, isRetryable, nowMs, trialLimit }: SelectionContext,
    { randomNumber, isLocal }: Options,
): boolean {
    // Upstreams of other failure domains get few trial requests, which must not become fewer.
    if (!canTry || (isLocal && !view.trials.isDue(nowMs))) {
        return false;
    }
    const probability = view.getFaultProbability(nowMs);
    const share = isRetryable ? 1 : nonRetryableTrialShare;
    return probability <= (isLocal ? trialLimit : suspicionLimits.remoteTrialLimit)
        && ((canExplore && view.getStalenessMs(nowMs) >= suspicionLimits.trialIntervalMs) ||
            randomNumber < share * (1 - probability));
}
