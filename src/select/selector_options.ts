import type { AuditSink } from "../audit/audit_sink.ts";
import type { Clock } from "../core/clock.ts";
import type { RandomSource } from "../core/random_source.ts";
import type { HealthScoreTable } from "../health/health_score_table.ts";
import type { LeavingRecorder } from "../membership/leaving_recorder.ts";
import type { MembershipReader } from "../membership/membership_reader.ts";

/** Parts of the daemon that the selector uses. */
export interface SelectorOptions {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly membership: MembershipReader;
    readonly leaving: LeavingRecorder;
    readonly audit: AuditSink;
    /** The table that the owner's `SequentialEvidenceRecorder` uses too. */
    readonly scoreTable: HealthScoreTable;
    /** Location of this daemon. */
    readonly failureDomain: string;
    readonly region: string;
}
