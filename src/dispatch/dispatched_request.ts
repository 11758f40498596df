import type { Failure } from "../core/failure.ts";
import type { ScheduledRequest } from "../queue/scheduled_request.ts";
import type { UpstreamResult } from "./upstream_result.ts";

/** An attempt after its exchange with the upstream, or after a check before dispatch refused it. */
export interface DispatchedRequest extends ScheduledRequest {
    /** Undefined when a check before dispatch refused the attempt. */
    readonly result: UpstreamResult | undefined;
    /** Present when `result` is undefined. */
    readonly refusal: Failure | undefined;
    /** Duration of the exchange in milliseconds; 0 when nothing was sent. */
    readonly serviceMs: number;
}
