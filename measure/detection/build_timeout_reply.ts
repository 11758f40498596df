import { Code } from "../../src/core/code.ts";
import { createFailure } from "../../src/core/create_failure.ts";
import type { OwnerReply } from "../../src/forward/owner_reply.ts";
import type { SelectedRequest } from "../../src/select/selected_request.ts";

/** Builds the reply that an entry daemon records when none arrived before the deadline. */
export function buildTimeoutReply(selected: SelectedRequest): OwnerReply {
    return {
        ...createFailure(Code.PeerTimeout),
        requestId: selected.requestId,
        attempt: selected.attempt,
        ownerId: selected.upstream.ownerId,
        incarnation: "",
        answer: undefined,
        serviceMs: 0,
        waitMs: 0,
        upstream: undefined,
    };
}
