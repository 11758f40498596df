import type { OwnerReply } from "./owner_reply.ts";
import type { RetryPolicy } from "./retry_policy.ts";
import { transientCodes } from "./transient_codes.ts";

/** Idempotent work may run more than once. */
export class IdempotentRetryPolicy implements RetryPolicy {
    isRetryable(reply: OwnerReply): boolean {
        return transientCodes.has(reply.code);
    }
}
