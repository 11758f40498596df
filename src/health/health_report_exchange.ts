import type { HealthReport } from "./health_report.ts";

/** Raised scores as daemons tell them to each other. */
export interface HealthReportExchange {
    /** The freshest raised scores; that of `aboutUpstreamId` comes first. */
    listReports(nowMs: number, aboutUpstreamId?: string): readonly HealthReport[];
    merge(reports: readonly HealthReport[], nowMs: number): void;
}
