import type { Evidence } from "./evidence.ts";

/** The owner's sequential test of its upstreams. */
export interface EvidenceRecorder {
    record(evidence: Evidence): void;
    /** Score in nats, 0 or more. */
    getScore(upstreamId: string): number;
}
