/**
 * The owner's sequential test of its upstreams.
 *
 * @example
 * ```ts
 * recorder.record(evidence);
 * const state = { ...queueState, healthScore: recorder.getScore(upstreamId), leaving };
 * ```
 *
 * @module
 */
import { UpstreamResultKind } from "../dispatch/upstream_result_kind.ts";
import { CumulativeSum } from "./cumulative_sum.ts";
import type { Evidence } from "./evidence.ts";
import type { EvidenceRecorder } from "./evidence_recorder.ts";

/** Bounds the score, so that an upstream that works again is seen to do so within a bounded number of requests. */
const scoreLimit = 40;

/** Adds up evidence for each upstream. */
export class SequentialEvidenceRecorder implements EvidenceRecorder {
    private readonly tests = new Map<string, CumulativeSum>();

    record(evidence: Evidence): void {
        if (evidence.kind === UpstreamResultKind.Cancelled) {
            return;
        }
        let test = this.tests.get(evidence.upstreamId);
        if (test === undefined) {
            test = new CumulativeSum({ healthyShare: 0.05, failingShare: 0.5 });
            this.tests.set(evidence.upstreamId, test);
        }
        const slow = evidence.baselineMs > 0 && evidence.serviceMs > evidence.baselineMs;
        test.add(evidence.kind !== UpstreamResultKind.Answered || !evidence.expected || slow, scoreLimit);
    }

    getScore(upstreamId: string): number {
        return this.tests.get(upstreamId)?.get() ?? 0;
    }
}
