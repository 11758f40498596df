import type { Outcome } from "./outcome.ts";

/** Row of the code table. */
export interface CodeEntry {
    /** HTTP status of the problem document that is sent to the caller. */
    readonly status: number;
    /** Outcome of failures that do not state their own. */
    readonly outcome: Outcome;
    readonly summary: string;
}
