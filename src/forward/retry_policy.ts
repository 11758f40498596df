import type { OwnerReply } from "./owner_reply.ts";

/** Decides after which replies a retry is safe and may succeed. */
export interface RetryPolicy {
    isRetryable(reply: OwnerReply): boolean;
}
