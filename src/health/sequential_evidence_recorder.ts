/**
 * Sequential tests of the upstreams of an owner.
 *
 * @example
 * ```ts
 * recorder.record(evidence);
 * const state = { ...queueState, healthScore: recorder.getScore(upstreamId), leaving };
 * ```
 *
 * @module
 */
import type { ActiveConfigReader } from "../config/active_config_reader.ts";
import { UpstreamResultKind } from "../dispatch/upstream_result_kind.ts";
import { computeAlarmScore } from "./compute_alarm_score.ts";
import type { Evidence } from "./evidence.ts";
import type { EvidenceRecorder } from "./evidence_recorder.ts";
import type { HealthScoreTable } from "./health_score_table.ts";
import { SequentialUpstreamTest } from "./sequential_upstream_test.ts";

interface Options {
    readonly config: ActiveConfigReader;
    /** Table for the new scores, so that this daemon can report them to others. */
    readonly scoreTable: HealthScoreTable;
}

/** Applies the evidence to the sequential test of each owned upstream. */
export class SequentialEvidenceRecorder implements EvidenceRecorder {
    private readonly tests = new Map<string, SequentialUpstreamTest>();

    constructor(private readonly options: Options) {}

    record(evidence: Evidence): void {
        const service = this.options.config.getActive()?.configuration.services.get(evidence.service);
        if (service === undefined || evidence.kind === UpstreamResultKind.Cancelled) {
            return;
        }
        let test = this.tests.get(evidence.upstreamId);
        if (test === undefined) {
            test = new SequentialUpstreamTest();
            this.tests.set(evidence.upstreamId, test);
        }
        if (!test.apply(evidence, computeAlarmScore(service.health))) {
            return;
        }
        const { upstreamId, atMs } = evidence;
        const raisedSinceMs = test.getRaisedSinceMs();
        const record = { upstreamId, service: service.name, score: test.getScore(), atMs };
        this.options.scoreTable.record(raisedSinceMs === undefined ? record : { ...record, raisedSinceMs });
    }

    getScore(upstreamId: string): number {
        return this.tests.get(upstreamId)?.getScore() ?? 0;
    }
}
