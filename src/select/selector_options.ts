import type { AuditSink } from "../audit/audit_sink.ts";
import type { Clock } from "../core/clock.ts";
import type { RandomSource } from "../core/random_source.ts";
import type { HealthScoreTable } from "../health/health_score_table.ts";
import type { LeavingRecorder } from "../membership/leaving_recorder.ts";
import type { MembershipReader } from "../membership/membership_reader.ts";

/** What the selector needs from the rest of the daemon. */
export interface SelectorOptions {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly membership: MembershipReader;
    readonly leaving: LeavingRecorder;
    readonly audit: AuditSink;
    /** The same one as the owner's `SequentialEvidenceRecorder` uses. */
    readonly scoreTable: HealthScoreTable;
    /** Place of this daemon. */
    readonly failureDomain: string;
    readonly region: string;
}
