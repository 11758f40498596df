import type { LogLine } from "./log_line.ts";

/** Explanation of how a request ended. */
export interface Explanation {
    readonly requestId: string;
    readonly lines: readonly LogLine[];
    /** Reason for the outcome of the request, in one sentence. */
    readonly cause: string;
}
