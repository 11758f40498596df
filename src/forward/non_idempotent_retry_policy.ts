import { Outcome } from "../core/outcome.ts";
import type { OwnerReply } from "./owner_reply.ts";
import type { RetryPolicy } from "./retry_policy.ts";
import { transientCodes } from "./transient_codes.ts";

/** Non-idempotent requests without a key are retried only if they were definitely not executed. */
export class NonIdempotentRetryPolicy implements RetryPolicy {
    isRetryable(reply: OwnerReply): boolean {
        return reply.outcome === Outcome.NotExecuted && transientCodes.has(reply.code);
    }
}
