import type { DecisionStep } from "./decision_step.ts";

/** What would happen to a request now, in the order of the filters that it would pass. */
export interface DecisionTrace {
    readonly steps: readonly DecisionStep[];
    /** Upstream to which the request would go; undefined when it would be refused. */
    readonly upstreamId: string | undefined;
    /** Code of the refusal; 0 when the request would be sent. */
    readonly code: number;
    /** Milliseconds after which a refused caller may return; 0 when the request would be sent. */
    readonly retryAfterMs: number;
}
