import type { OwnerReply } from "./owner_reply.ts";
import type { RetryPolicy } from "./retry_policy.ts";
import { transientCodes } from "./transient_codes.ts";

/** Idempotent requests may run more than once, so every transient failure is retried. */
export class IdempotentRetryPolicy implements RetryPolicy {
    isRetryable(reply: OwnerReply): boolean {
        return transientCodes.has(reply.code);
    }
}
