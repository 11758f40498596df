import type { UpstreamState } from "../core/upstream_state.ts";
import type { EvidenceRecorder } from "../health/evidence_recorder.ts";
import type { FaultProbabilityReader } from "../health/fault_probability_reader.ts";
import { DaemonState } from "../lifecycle/daemon_state.ts";
import type { DaemonStateReader } from "../lifecycle/daemon_state_reader.ts";
import type { QueueStateReader } from "../queue/queue_state_reader.ts";

interface Options {
    readonly queues: QueueStateReader;
    readonly evidence: EvidenceRecorder;
    readonly daemonState: DaemonStateReader;
    /** Absent when the owner does not estimate fault probabilities. */
    readonly faults?: FaultProbabilityReader | undefined;
}

/** Combines the queue state, the health estimates and the lifecycle state of an upstream. */
export class UpstreamStateBuilder {
    constructor(private readonly options: Options) {}

    /** Undefined when this daemon does not own the upstream. */
    build(upstreamId: string): UpstreamState | undefined {
        const queue = this.options.queues.getState(upstreamId);
        if (queue === undefined) {
            return undefined;
        }
        const state = this.options.daemonState.getState();
        const leaving = state === DaemonState.Draining || state === DaemonState.Closed;
        return {
            ...queue,
            healthScore: this.options.evidence.getScore(upstreamId),
            leaving,
            faultProbability: this.options.faults?.getFaultProbability(upstreamId) ?? 0,
        };
    }
}
