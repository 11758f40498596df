import { Outcome } from "../core/outcome.ts";
import type { OwnerReply } from "./owner_reply.ts";
import type { RetryPolicy } from "./retry_policy.ts";
import { transientCodes } from "./transient_codes.ts";

/** Non-idempotent work without a key is sent again only after a definite `not-executed`. */
export class NonIdempotentRetryPolicy implements RetryPolicy {
    isRetryable(reply: OwnerReply): boolean {
        return reply.outcome === Outcome.NotExecuted && transientCodes.has(reply.code);
    }
}
