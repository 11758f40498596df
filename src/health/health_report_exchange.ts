import type { HealthReport } from "./health_report.ts";

/** Exchange of raised scores between daemons. */
export interface HealthReportExchange {
    /** The newest raised scores; that of `aboutUpstreamId` comes first. */
    listReports(nowMs: number, aboutUpstreamId?: string): readonly HealthReport[];
    merge(reports: readonly HealthReport[], nowMs: number): void;
}
