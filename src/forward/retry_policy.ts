import type { OwnerReply } from "./owner_reply.ts";

/** Tells after which replies one more attempt can do no harm and may help. */
export interface RetryPolicy {
    isRetryable(reply: OwnerReply): boolean;
}
