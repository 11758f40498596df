/**
 * Estimates the probability that an upstream has a fault, updated with each result.
 *
 * @example
 * ```ts
 * const estimator = new FaultEstimator(nowMs);
 * estimator.recordResult(false, nowMs);
 * estimator.getProbability(nowMs + 100);
 * ```
 *
 * @module
 */
import { computeDecayedProbability } from "./compute_decayed_probability.ts";
import { faultModel } from "./fault_model.ts";

/** Bounds of the estimate, so that a few results can change it. */
const minProbability = 0.001;
const maxProbability = 0.995;

/** Bayesian filter over the two states of `faultModel`. */
export class FaultEstimator {
    private probability = computePrior();

    constructor(private updatedAtMs: number) {}

    recordResult(failed: boolean, nowMs: number): void {
        const { faultyFailureRate, healthyFailureRate } = faultModel;
        this.update(
            failed ? faultyFailureRate : 1 - faultyFailureRate,
            failed ? healthyFailureRate : 1 - healthyFailureRate,
            nowMs,
        );
    }

    /**
     * Records a request that failed after it was processed, possibly because of a fault of another service.
     */
    recordLateFailure(nowMs: number): void {
        this.update(faultModel.faultyLateFailureRate, faultModel.healthyLateFailureRate, nowMs);
    }

    /** Records a request that takes much longer than its baseline. */
    recordSlow(nowMs: number): void {
        this.update(faultModel.faultySlowRate, faultModel.healthySlowRate, nowMs);
    }

    getProbability(nowMs: number): number {
        return computeDecayedProbability(this.probability, nowMs - this.updatedAtMs);
    }

    private update(likelihoodFaulty: number, likelihoodHealthy: number, nowMs: number): void {
        const prior = this.getProbability(nowMs);
        const faulty = prior * likelihoodFaulty;
        const posterior = faulty / (faulty + (1 - prior) * likelihoodHealthy);
        this.probability = Math.min(maxProbability, Math.max(minProbability, posterior));
        this.updatedAtMs = nowMs;
    }
}

function computePrior(): number {
    return faultModel.meanFaultMs / (faultModel.meanFaultMs + faultModel.meanHealthyMs);
}
