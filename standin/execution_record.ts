/** One step of a request at the stand-in upstream. */
export interface ExecutionRecord {
    readonly atMs: number;
    readonly requestId: string;
    readonly key: string;
    readonly method: string;
    readonly path: string;
    readonly body: string;
    /** `executed` is recorded when the effect of the request takes place. */
    readonly phase: "started" | "executed" | "cancelled" | "shed";
}
