import type { Result } from "neverthrow";
import type { Failure } from "../core/failure.ts";
import type { OwnerRequest } from "./owner_request.ts";
import type { ScheduledRequest } from "./scheduled_request.ts";

/** A request that is waiting for a slot. */
export interface QueueEntry {
    readonly request: OwnerRequest;
    /** Monotonic milliseconds. */
    readonly queuedAtMs: number;
    /** Expected service time in milliseconds; the cost of the request in the fair queue. */
    readonly costMs: number;
    /** Wait in milliseconds as estimated on arrival, before the correction by measured waits. */
    readonly estimatedWaitMs: number;
    /**
     * True when the organisation had no queued work; later arrivals of others then hardly change the wait.
     */
    readonly firstOfOrganisation: boolean;
    /** Ends the wait with a slot or a failure. */
    readonly resolve: (result: Result<ScheduledRequest, Failure>) => void;
}
