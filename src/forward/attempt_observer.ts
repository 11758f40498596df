import type { SelectedRequest } from "../select/selected_request.ts";
import type { OwnerReply } from "./owner_reply.ts";

/** Observes the attempts of this daemon. */
export interface AttemptObserver {
    /** `startMs` is monotonic. */
    recordAttempt(
        selected: SelectedRequest,
        reply: OwnerReply,
        times: { readonly startMs: number; readonly roundTripMs: number; },
    ): void;
}
