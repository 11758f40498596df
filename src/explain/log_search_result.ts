import type { LogLine } from "./log_line.ts";

/** Lines about a request, and those that could not be read. */
export interface LogSearchResult {
    readonly lines: readonly LogLine[];
    /** Each with file and number of the line. */
    readonly problems: readonly string[];
}
