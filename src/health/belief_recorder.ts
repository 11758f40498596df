import type { Clock } from "../core/clock.ts";
import { UpstreamResultKind } from "../dispatch/upstream_result_kind.ts";
import type { Evidence } from "./evidence.ts";
import type { EvidenceRecorder } from "./evidence_recorder.ts";
import { FaultBelief } from "./fault_belief.ts";
import type { FaultReader } from "./fault_reader.ts";

/**
 * Milliseconds up to which a failed answer counts as prompt. A fault that rejects requests answers before it does any
 * work, while the failure of a call to another service takes as long as that call.
 */
const promptMs = 25;

/** Keeps a belief about each owned upstream. */
export class BeliefRecorder implements EvidenceRecorder, FaultReader {
    private readonly beliefs = new Map<string, FaultBelief>();

    constructor(private readonly clock: Clock) {}

    record(evidence: Evidence): void {
        const { atMs, baselineMs, expected, kind, serviceMs, upstreamId } = evidence;
        // A refusal costs a retry and loses no work, so it is no reason to keep work away.
        if (kind === UpstreamResultKind.Cancelled || kind === UpstreamResultKind.Declined) {
            return;
        }
        const belief = this.getBelief(upstreamId);
        const slow = baselineMs > 0 && serviceMs > baselineMs;
        if (expected && kind === UpstreamResultKind.Answered) {
            belief.recordResult(false, atMs);
            if (slow) {
                belief.recordSlow(atMs);
            }
        }
        else if (kind === UpstreamResultKind.TimedOut) {
            // A request that had less time than it needs says nothing.
            if (slow) {
                belief.recordSlow(atMs);
            }
        }
        else if (kind === UpstreamResultKind.Answered && serviceMs > promptMs) {
            belief.recordLateFailure(atMs);
        }
        else {
            belief.recordResult(true, atMs);
        }
    }

    getFaultProbability(upstreamId: string): number {
        return this.getBelief(upstreamId).getProbability(this.clock.getMonotonicMs());
    }

    getScore(): number {
        return 0;
    }

    private getBelief(upstreamId: string): FaultBelief {
        let belief = this.beliefs.get(upstreamId);
        if (belief === undefined) {
            belief = new FaultBelief(this.clock.getMonotonicMs());
            this.beliefs.set(upstreamId, belief);
        }
        return belief;
    }
}
