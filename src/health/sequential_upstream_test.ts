import { UpstreamResultKind } from "../dispatch/upstream_result_kind.ts";
import { CumulativeSum } from "./cumulative_sum.ts";
import type { Evidence } from "./evidence.ts";
import { raisedScoreThreshold } from "./raised_score_threshold.ts";

/**
 * Upper bound of the score as a multiple of the alarm score. With it, some 30 requests show that an upstream
 * has recovered even when it was never ejected.
 */
const limitFactor = 1.25;

/** Successful trial requests that reduce the score by the alarm score. */
const trialsPerAlarm = 5;

/** Sequential test of one upstream, with one CUSUM for slow answers and one for failed requests. */
export class SequentialUpstreamTest {
    private raisedSinceMs: number | undefined;
    // With the default slowFactor of 3, a healthy upstream exceeds three times the third quartile of its
    // peers in 1.6% of its answers when service times are exponential, and in fewer when they vary less.
    private readonly slow = new CumulativeSum({ healthyShare: 0.02, failingShare: 0.5 });
    private readonly failed = new CumulativeSum({ healthyShare: 0.01, failingShare: 0.5 });

    /**
     * Returns false when the evidence does not affect the CUSUM that determines the score; the score is then
     * not newer.
     */
    apply(evidence: Evidence, alarmScore: number): boolean {
        const isCounted = this.addEvidence(evidence, alarmScore);
        this.raisedSinceMs = this.getScore() < raisedScoreThreshold
            ? undefined
            : this.raisedSinceMs ?? evidence.atMs;
        return isCounted;
    }

    private addEvidence(evidence: Evidence, alarmScore: number): boolean {
        const limit = alarmScore * limitFactor;
        const failed = isFailed(evidence);
        const slow = evidence.baselineMs > 0 && evidence.serviceMs > evidence.baselineMs;
        const isSlownessKnown = evidence.baselineMs > 0 && !failed;
        if (evidence.kind === UpstreamResultKind.TimedOut && !slow) {
            // The request had less time than a healthy upstream may need.
            return false;
        }
        if (evidence.trial) {
            this.applyTrial(failed, slow, alarmScore, limit);
            return true;
        }
        this.failed.add(failed, limit);
        if (isSlownessKnown) {
            this.slow.add(slow, limit);
        }
        return isSlownessKnown || this.failed.get() >= this.slow.get();
    }

    /** Time since which the score has been raised; undefined when it is not raised. */
    getRaisedSinceMs(): number | undefined {
        return this.raisedSinceMs;
    }

    /** Score in nats. */
    getScore(): number {
        return Math.max(this.slow.get(), this.failed.get());
    }

    /**
     * A failed trial request sets the score to its bound, because the fault persists. Successful ones reduce
     * the score and end the run of the test at half the alarm score.
     */
    private applyTrial(failed: boolean, slow: boolean, alarmScore: number, limit: number): void {
        if (failed || slow) {
            (failed ? this.failed : this.slow).set(limit, limit);
            return;
        }
        const step = alarmScore / trialsPerAlarm;
        this.failed.set(this.failed.get() - step, limit);
        this.slow.set(this.slow.get() - step, limit);
        if (this.getScore() <= alarmScore / 2) {
            this.failed.set(0, limit);
            this.slow.set(0, limit);
        }
    }
}

function isFailed(evidence: Evidence): boolean {
    switch (evidence.kind) {
        case UpstreamResultKind.Answered:
            return !evidence.expected;
        case UpstreamResultKind.TimedOut:
            return false;
        default:
            return true;
    }
}
