import type { SelectedRequest } from "../select/selected_request.ts";
import type { OwnerReply } from "./owner_reply.ts";
import type { RevokeState } from "./revoke_state.ts";

/**
 * Forwards an attempt to the owner of its upstream. Never rejects: a failed hop gives a reply with code 3xxx.
 */
export interface Forwarder {
    /**
     * Stops waiting when `signal` is aborted, which does not undo what the owner has started.
     * `handleUnconfirmed` is called when the owner has not confirmed the receipt in time; its reply may still
     * arrive.
     */
    forward(
        request: SelectedRequest,
        signal: AbortSignal,
        handleUnconfirmed?: () => void,
    ): Promise<OwnerReply>;
    /** Asks the owner to refuse the attempt if it was not dispatched. */
    revoke(request: SelectedRequest): Promise<RevokeState>;
}
