import type { AuditSink } from "../audit/audit_sink.ts";
import type { RandomSource } from "../core/random_source.ts";
import type { MembershipReader } from "../membership/membership_reader.ts";
import type { HealthScoreTable } from "./health_score_table.ts";

/** Parts of the daemon that the ejection table uses. */
export interface EjectionOptions {
    readonly random: RandomSource;
    readonly membership: MembershipReader;
    readonly audit: AuditSink;
    readonly scoreTable: HealthScoreTable;
}
