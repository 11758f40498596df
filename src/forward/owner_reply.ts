import type { Answer } from "../core/answer.ts";
import type { Code } from "../core/code.ts";
import type { Outcome } from "../core/outcome.ts";
import type { UpstreamState } from "../core/upstream_state.ts";
import type { HealthReport } from "../health/health_report.ts";

/** Result of one attempt: the reply of its owner, or one created by the entry daemon when the hop failed. */
export interface OwnerReply {
    readonly requestId: string;
    readonly attempt: number;
    readonly ownerId: string;
    readonly incarnation: string;
    readonly code: Code;
    readonly outcome: Outcome;
    readonly detail: string;
    /** Milliseconds after which the caller may repeat a refused request; absent when the owner knows nothing. */
    readonly retryAfterMs?: number | undefined;
    /** Present when the upstream answered completely. */
    readonly answer: Answer | undefined;
    /** Milliseconds from dispatch to the complete answer. */
    readonly serviceMs: number;
    /** Milliseconds in the owner's queue. */
    readonly waitMs: number;
    /** Undefined when the hop failed. */
    readonly upstream: UpstreamState | undefined;
    /**
     * True when the operation table of the owner holds the outcome under the idempotency key, so that no
     * other copy of the request can change it. Without it, `not-executed` says nothing about other copies.
     */
    readonly keyRecorded?: boolean;
    /** Raised health scores of any upstreams that the owner knows; absent when there are none. */
    readonly healthReports?: readonly HealthReport[];
    /** Other upstreams of the service in the failure domain of the owner, for entry daemons in other ones. */
    readonly neighbours?: readonly UpstreamState[];
}
