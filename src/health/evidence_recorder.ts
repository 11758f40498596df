import type { Evidence } from "./evidence.ts";

/** Records the evidence about the upstreams of an owner and computes their health scores. */
export interface EvidenceRecorder {
    record(evidence: Evidence): void;
    /** Score in nats, 0 or more. */
    getScore(upstreamId: string): number;
}
