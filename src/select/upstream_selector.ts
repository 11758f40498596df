import type { Result } from "neverthrow";
import type { Failure } from "../core/failure.ts";
import type { OwnerReply } from "../forward/owner_reply.ts";
import type { RoutedRequest } from "../route/routed_request.ts";
import type { AttemptHistory } from "./attempt_history.ts";
import type { SelectedRequest } from "./selected_request.ts";

/** Selects the upstream of each attempt and learns from the replies. */
export interface UpstreamSelector {
    /**
     * `excluded` holds the identifiers of upstreams that earlier attempts have tried.
     */
    select(
        request: RoutedRequest,
        attempt: number,
        excluded: ReadonlySet<string>,
        history?: AttemptHistory,
    ): Result<SelectedRequest, Failure>;
    /** Counts the attempt as in flight. Call once for each selected attempt that is forwarded. */
    recordStart(selected: SelectedRequest): void;
    /** The owner has not confirmed in time that it has received the attempt. */
    recordUnconfirmed(selected: SelectedRequest): void;
    /** Ends the attempt; `roundTripMs` is the time from forwarding to the reply as this daemon saw it. */
    recordReply(selected: SelectedRequest, reply: OwnerReply, roundTripMs: number): void;
}
