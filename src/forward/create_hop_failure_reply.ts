import type { Failure } from "../core/failure.ts";
import type { SelectedRequest } from "../select/selected_request.ts";
import type { OwnerReply } from "./owner_reply.ts";

/** Reply that stands for a failed hop to the owner. */
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
