import { hopFailureCodes } from "./hop_failure_codes.ts";
import type { OwnerReply } from "./owner_reply.ts";
import type { RetryPolicy } from "./retry_policy.ts";

/** Requests with a key may be sent again to the owner of the key, which runs them only once. */
export class KeyedRetryPolicy implements RetryPolicy {
    isRetryable(reply: OwnerReply): boolean {
        return reply.keyRecorded !== true && hopFailureCodes.has(reply.code);
    }
}
