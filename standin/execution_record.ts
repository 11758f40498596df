/** One entry in the history of the stand-in upstream: a request reached a phase. */
export interface ExecutionRecord {
    /** Monotonic milliseconds, see `getMonotonicMs`. */
    readonly atMs: number;
    readonly requestId: string;
    readonly key: string;
    readonly method: string;
    readonly path: string;
    readonly body: string;
    /** `executed` is recorded when the request takes effect. */
    readonly phase: "started" | "executed" | "cancelled" | "shed";
}
