import type { Failure } from "../core/failure.ts";
import type { RoutedRequest } from "../route/routed_request.ts";
import type { DecisionStep } from "./decision_step.ts";

/** What one stage would decide about a request. */
export interface PreviewVerdict {
    readonly steps: readonly DecisionStep[];
    /** The request as the next stage receives it. */
    readonly request: RoutedRequest;
    /** Refusal of the request; undefined when it would go on. */
    readonly failure?: Failure | undefined;
    /** Upstream to which the request would go, when this stage selects it. */
    readonly upstreamId?: string | undefined;
}
