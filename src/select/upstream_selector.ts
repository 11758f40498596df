import type { Result } from "neverthrow";
import type { Failure } from "../core/failure.ts";
import type { OwnerReply } from "../forward/owner_reply.ts";
import type { RoutedRequest } from "../route/routed_request.ts";
import type { AttemptHistory } from "./attempt_history.ts";
import type { SelectedRequest } from "./selected_request.ts";

/** Selects the upstream of each attempt and records the replies. */
export interface UpstreamSelector {
    /** `excluded` contains the identifiers of the upstreams of earlier attempts. */
    select(
        request: RoutedRequest,
        attempt: number,
        excluded: ReadonlySet<string>,
        history?: AttemptHistory,
    ): Result<SelectedRequest, Failure>;
    /** Counts the attempt as in flight. Must be called once for each selected attempt that is forwarded. */
    recordStart(selected: SelectedRequest): void;
    /** Records that the owner has not confirmed the receipt of the attempt in time. */
    recordUnconfirmed(selected: SelectedRequest): void;
    /** Ends the attempt; `roundTripMs` is the time from forwarding to the reply at this daemon. */
    recordReply(selected: SelectedRequest, reply: OwnerReply, roundTripMs: number): void;
}
