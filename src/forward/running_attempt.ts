import type { SelectedRequest } from "../select/selected_request.ts";
import type { OwnerReply } from "./owner_reply.ts";

/** One attempt of a request that has been sent. */
export interface RunningAttempt {
    readonly selected: SelectedRequest;
    readonly controller: AbortController;
    readonly done: Promise<{ readonly running: RunningAttempt; readonly reply: OwnerReply; }>;
    /** Returns the charge to the retry budget; undefined when the attempt was not charged. */
    readonly releaseCharge: (() => void) | undefined;
}
