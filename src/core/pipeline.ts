/**
 * Runs filters in sequence and stops at the first failure.
 *
 * @example
 * ```ts
 * const pipeline = Pipeline.start(routeFilter).pipe(admitFilter);
 * const result = await pipeline.apply(request);
 * ```
 *
 * @module
 */
import { err, type Result } from "neverthrow";
import type { Failure } from "./failure.ts";
import type { Filter } from "./filter.ts";

/** A sequence of filters that is itself a filter. */
export class Pipeline<Input, Output> implements Filter<Input, Output> {
    private constructor(private readonly run: Filter<Input, Output>["apply"]) {}

    static start<Input, Output>(filter: Filter<Input, Output>): Pipeline<Input, Output> {
        return new Pipeline(input => filter.apply(input));
    }

    pipe<Next>(filter: Filter<Output, Next>): Pipeline<Input, Next> {
        return new Pipeline(async (input): Promise<Result<Next, Failure>> => {
            const result = await this.run(input);
            return result.isErr() ? err(result.error) : filter.apply(result.value);
        });
    }

    apply(input: Input): Result<Output, Failure> | Promise<Result<Output, Failure>> {
        return this.run(input);
    }
}
