import type { Clock } from "../core/clock.ts";
import { LogLevel } from "../core/log_level.ts";
import type { Logger } from "../core/logger.ts";
import { UpstreamResultKind } from "../dispatch/upstream_result_kind.ts";
import type { Evidence } from "./evidence.ts";
import type { EvidenceRecorder } from "./evidence_recorder.ts";
import { FaultBelief } from "./fault_belief.ts";
import type { FaultReader } from "./fault_reader.ts";
import { suspicion } from "./suspicion.ts";

/**
 * Milliseconds up to which a failed answer counts as prompt. A fault that rejects requests answers before it does any
 * work, while the failure of a call to another service takes as long as that call.
 */
const promptMs = 25;

interface Options {
    readonly clock: Clock;
    readonly logger: Logger;
}

/** Keeps a belief about each owned upstream. */
export class BeliefRecorder implements EvidenceRecorder, FaultReader {
    private readonly beliefs = new Map<string, FaultBelief>();

    constructor(private readonly options: Options) {}

    record(evidence: Evidence): void {
        const { atMs, upstreamId } = evidence;
        const before = this.getBelief(upstreamId).getProbability(atMs);
        this.update(evidence);
        const after = this.getBelief(upstreamId).getProbability(atMs);
        const isSuspected = after > suspicion.singleRunLimit;
        if (isSuspected !== before > suspicion.singleRunLimit) {
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
        return this.getBelief(upstreamId).getProbability(this.options.clock.getMonotonicMs());
    }

    getScore(): number {
        return 0;
    }

    private getBelief(upstreamId: string): FaultBelief {
        let belief = this.beliefs.get(upstreamId);
        if (belief === undefined) {
            belief = new FaultBelief(this.options.clock.getMonotonicMs());
            this.beliefs.set(upstreamId, belief);
        }
        return belief;
    }
}
