import type { Clock } from "../core/clock.ts";
import { LogLevel } from "../core/log_level.ts";
import type { Logger } from "../core/logger.ts";
import { UpstreamResultKind } from "../dispatch/upstream_result_kind.ts";
import type { CallFailureHistory } from "./call_failure_history.ts";
import type { Evidence } from "./evidence.ts";
import type { EvidenceRecorder } from "./evidence_recorder.ts";
import { FaultEstimator } from "./fault_estimator.ts";
import type { FaultProbabilityReader } from "./fault_probability_reader.ts";
import { suspicionLimits } from "./suspicion_limits.ts";

/**
 * Service time in milliseconds up to which a failed answer counts as prompt. A faulty upstream that rejects
 * requests answers before it does any work, while a failed call to another service takes as long as that
 * call.
 */
const promptFailureMs = 25;

interface Options {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly callFailures: CallFailureHistory;
}

/** Estimates the fault probability of each owned upstream. */
export class BayesianEvidenceRecorder implements EvidenceRecorder, FaultProbabilityReader {
    private readonly estimators = new Map<string, FaultEstimator>();

    constructor(private readonly options: Options) {}

    record(evidence: Evidence): void {
        const { atMs, upstreamId } = evidence;
        const before = this.getEstimator(upstreamId).getProbability(atMs);
        this.update(evidence);
        const after = this.getEstimator(upstreamId).getProbability(atMs);
        const isSuspected = after > suspicionLimits.nonIdempotentLimit;
        if (isSuspected !== before > suspicionLimits.nonIdempotentLimit) {
            this.options.logger.write(
                LogLevel.Info,
                isSuspected ? "upstream_suspected" : "upstream_trusted",
                {
                    upstream: upstreamId,
                    before: Number(before.toFixed(3)),
                    after: Number(after.toFixed(3)),
                    result: evidence.kind,
                    expected: evidence.expected,
                    serviceMs: Math.round(evidence.serviceMs),
                    baselineMs: Math.round(evidence.baselineMs),
                },
            );
        }
    }

    private update(evidence: Evidence): void {
        const { atMs, baselineMs, expected, kind, serviceMs, upstreamId } = evidence;
        // A refused request is retried elsewhere and not lost, so it is no evidence of a fault.
        if (kind === UpstreamResultKind.Cancelled || kind === UpstreamResultKind.Declined) {
            return;
        }
        const estimator = this.getEstimator(upstreamId);
        const slow = baselineMs > 0 && serviceMs > baselineMs;
        if (expected && kind === UpstreamResultKind.Answered) {
            estimator.recordResult(false, atMs);
            if (slow) {
                estimator.recordSlow(atMs);
            }
        }
        else if (kind === UpstreamResultKind.TimedOut) {
            // A timeout before the baseline shows only that the request had too little time.
            if (slow) {
                estimator.recordSlow(atMs);
            }
        }
        else if (kind === UpstreamResultKind.Answered && serviceMs > promptFailureMs) {
            // The fault is that of the called service, and this upstream would be suspected in its place.
            if (!this.options.callFailures.hasRecent(atMs)) {
                estimator.recordLateFailure(atMs);
            }
        }
        else {
            estimator.recordResult(true, atMs);
        }
    }

    getFaultProbability(upstreamId: string): number {
        return this.getEstimator(upstreamId).getProbability(this.options.clock.getMonotonicMs());
    }

    getScore(): number {
        return 0;
    }

    private getEstimator(upstreamId: string): FaultEstimator {
        let estimator = this.estimators.get(upstreamId);
        if (estimator === undefined) {
            estimator = new FaultEstimator(this.options.clock.getMonotonicMs());
            this.estimators.set(upstreamId, estimator);
        }
        return estimator;
    }
}
