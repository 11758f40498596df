import type { Failure } from "../core/failure.ts";
import type { SelectedRequest } from "../select/selected_request.ts";
import type { OwnerReply } from "./owner_reply.ts";

/** Creates the reply for an attempt whose hop to the owner failed. */
export function createHopFailureReply(request: SelectedRequest, failure: Failure): OwnerReply {
    return {
        requestId: request.requestId,
        attempt: request.attempt,
        ownerId: request.upstream.ownerId,
        incarnation: "",
        code: failure.code,
        outcome: failure.outcome,
        detail: failure.detail,
        answer: undefined,
        serviceMs: 0,
        waitMs: 0,
        upstream: undefined,
    };
}
