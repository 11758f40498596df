import type { RandomSource } from "../core/random_source.ts";
import { faultModel } from "../health/fault_model.ts";
import type { SelectionContext } from "./selection_context.ts";
import type { UpstreamView } from "./upstream_view.ts";

/** Value of a result that would tell everything, for work that can be repeated, and loss of its failure. */
const learnValue = 0.6;
const repeatLoss = 0.05;
/** Milliseconds after which another result of an upstream has its full value. */
const learnMs = 1_000;
/** Value of a trial: more than any loss of an upstream that works, so that a trial that is due goes first. */
const trialValue = 1;

interface Options {
    /** True for the own failure domain: results of others are the business of the daemons there. */
    readonly isLocal: boolean;
    readonly random: RandomSource;
}

/**
 * Loss by a fault that the upstream may have, less the value of the result, in shares of a request's value.
 *
 * Trusted upstreams are compared by samples of their state (posterior sampling). The expected loss would give all work to
 * those that were used last, because the belief about the others fades towards the usual share of faults.
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
        const ageShare = Math.min(1, view.getStalenessMs(nowMs) / learnMs);
        return repeatLoss * probability - learnValue * probability * (1 - probability) * ageShare;
    }
    if (isLastResort) {
        return probability * faultModel.faultyFailureRate;
    }
    return random.getFloat() < probability ? faultModel.faultyFailureRate : 0;
}
