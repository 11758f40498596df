import type { SelectedRequest } from "../select/selected_request.ts";
import type { OwnerReply } from "./owner_reply.ts";
import type { RevokeState } from "./revoke_state.ts";

/** Brings an attempt to the owner of its upstream. Never rejects: a failed hop is a reply with a code 3xxx. */
export interface Forwarder {
    /**
     * Stops waiting when `signal` is aborted, which does not undo what the owner has started. `handleUnconfirmed` is
     * called when the owner has not said in time that it has received the attempt; its reply may still come.
     */
    forward(
        request: SelectedRequest,
        signal: AbortSignal,
        handleUnconfirmed?: () => void,
    ): Promise<OwnerReply>;
    /** Asks the owner to refuse the attempt if it was not dispatched. */
    revoke(request: SelectedRequest): Promise<RevokeState>;
}
