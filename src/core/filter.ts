/**
 * One stage of a pipeline.
 *
 * @example
 * ```ts
 * class DoubleFilter implements Filter<number, number> {
 *     apply(input: number) {
 *         return ok(input * 2);
 *     }
 * }
 * ```
 *
 * @module
 */
import type { Result } from "neverthrow";
import type { Failure } from "./failure.ts";

/** Turns an input into an output or a failure. Never throws and never rejects. */
export interface Filter<Input, Output> {
    apply(input: Input): Result<Output, Failure> | Promise<Result<Output, Failure>>;
}
