import { hopFailureCodes } from "./hop_failure_codes.ts";
import type { OwnerReply } from "./owner_reply.ts";
import type { RetryPolicy } from "./retry_policy.ts";

/** A request with a key may be sent to the owner of the key again: its record admits one run. */
export class KeyedRetryPolicy implements RetryPolicy {
    isRetryable(reply: OwnerReply): boolean {
        return reply.keyRecorded !== true && hopFailureCodes.has(reply.code);
    }
}
