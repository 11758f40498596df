import type { LogLine } from "./log_line.ts";

/** What happened to a request. */
export interface Explanation {
    readonly requestId: string;
    readonly lines: readonly LogLine[];
    /** Why it ended as it did, in one sentence. */
    readonly cause: string;
}
