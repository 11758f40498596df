import { err, type Result } from "neverthrow";
import type { Failure } from "../core/failure.ts";
import type { Filter } from "../core/filter.ts";
import { Outcome } from "../core/outcome.ts";
import { parseKey } from "./parse_key.ts";

/**
 * Wraps the entry pipeline. A refusal at the entry daemon is `unknown` for a request with a key, because an
 * earlier copy of the request may have been executed; the caller repeats the request with the same key.
 */
export class KeyedOutcomeFilter<Input extends { readonly idempotencyKey: string | undefined; }, Output>
    implements Filter<Input, Output> {
    constructor(private readonly inner: Filter<Input, Output>) {}

    async apply(input: Input): Promise<Result<Output, Failure>> {
        const result = await this.inner.apply(input);
        const keyed = input.idempotencyKey !== undefined && parseKey(input.idempotencyKey).isOk();
        return keyed && result.isErr() && result.error.outcome === Outcome.NotExecuted
            ? err({ ...result.error, outcome: Outcome.Unknown })
            : result;
    }
}
