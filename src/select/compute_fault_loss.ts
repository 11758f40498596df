import type { RandomSource } from "../core/random_source.ts";
import { faultModel } from "../health/fault_model.ts";
import type { SelectionContext } from "./selection_context.ts";
import type { UpstreamView } from "./upstream_view.ts";

/** Value of a result that gives full information, and loss of a failure, for requests that can be retried. */
const informationValue = 0.6;
const retryLoss = 0.05;
/**
 * Milliseconds since the last result of an upstream after which the next one has its full information value.
 */
const fullInformationMs = 1_000;
/**
 * Value of a trial request: exceeds any loss at a healthy upstream, so that a trial request that is due goes
 * first.
 */
const trialValue = 1;

/**
 * Loss of a failure when no upstream can serve the request at once. A request that waits for a trusted upstream
 * is late at worst, while one that fails has used one of its few executions, or ends with an unknown outcome.
 */
const lastResortLoss = 1;

interface Options {
    /** True in the local failure domain. Upstreams of others are explored by the daemons there. */
    readonly isLocal: boolean;
    readonly random: RandomSource;
}

/**
 * Expected loss by a fault of the upstream, less the information value of the result, as a fraction of a
 * request's value.
 *
 * Trusted upstreams are compared by samples of their state (posterior sampling). The expected loss would send
 * all requests to those that were used last, because the estimates of the others decay towards the stationary
 * probability.
 */
export function computeFaultLoss(
    view: UpstreamView,
    { canExplore, isLastResort, nowMs, suspicionLimit }: SelectionContext,
    { isLocal, random }: Options,
): number {
    const probability = view.getFaultProbability(nowMs);
    if (!isLastResort && probability > suspicionLimit) {
        return -trialValue;
    }
    if (canExplore && isLocal) {
        const ageShare = Math.min(1, view.getStalenessMs(nowMs) / fullInformationMs);
        return retryLoss * probability - informationValue * probability * (1 - probability) * ageShare;
    }
    if (isLastResort) {
        return lastResortLoss * probability;
    }
    return random.getFloat() < probability ? faultModel.faultyFailureRate : 0;
}
