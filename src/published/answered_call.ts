/** Monotonic milliseconds of a call, and those that the store was asked to wait. */
export interface AnsweredCall {
    readonly startMs: number;
    readonly waitMs: number;
    readonly endMs: number;
}
