import { err, type Result } from "neverthrow";
import type { Failure } from "../core/failure.ts";
import type { Filter } from "../core/filter.ts";
import { Outcome } from "../core/outcome.ts";
import type { OwnerReply } from "../forward/owner_reply.ts";
import { parseKey } from "./parse_key.ts";

interface KeyedInput {
    readonly idempotencyKey: string | undefined;
}

/**
 * Wraps the entry pipeline up to the attempt filter, whose replies contain what the owner has recorded; the
 * answer filter follows it. A refusal at the entry daemon is reported as `unknown` for a request with a key,
 * because an earlier copy of the request may have been executed; the caller retries the request with the same
 * key.
 */
export class KeyedOutcomeFilter<Input extends KeyedInput> implements Filter<Input, OwnerReply> {
    constructor(private readonly inner: Filter<Input, OwnerReply>) {}

    async apply(input: Input): Promise<Result<OwnerReply, Failure>> {
        const result = await this.inner.apply(input);
        const keyed = input.idempotencyKey !== undefined && parseKey(input.idempotencyKey).isOk();
        return keyed && result.isErr() && result.error.outcome === Outcome.NotExecuted
            ? err({ ...result.error, outcome: Outcome.Unknown })
            : result;
    }
}
