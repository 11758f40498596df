import type { HealthReport } from "../health/health_report.ts";
import type { RejectedConfig } from "../published/rejected_config.ts";
import type { DaemonNotice } from "./daemon_notice.ts";
import type { DocumentHead } from "./document_head.ts";

/** Gossip message between two daemons; request and reply have the same fields. */
export interface HeadExchange {
    readonly daemonId: string;
    readonly incarnation: string;
    readonly heads: readonly DocumentHead[];
    /** Notices that the sender issued or forwards. */
    readonly notices: readonly DaemonNotice[];
    /** Milliseconds since any daemon reached the platform, as far as the sender knows. */
    readonly platformAgeMs: number;
    /** Raised health scores of any upstreams; absent when there are none. */
    readonly healthReports?: readonly HealthReport[];
    readonly rejected: RejectedConfig | undefined;
}
