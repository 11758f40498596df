import type { LogLine } from "./log_line.ts";

/** Log lines about a request, and messages about lines that could not be parsed. */
export interface LogSearchResult {
    readonly lines: readonly LogLine[];
    /** Each begins with the file name and the line number. */
    readonly problems: readonly string[];
}
