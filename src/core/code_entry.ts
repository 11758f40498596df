import type { Outcome } from "./outcome.ts";

/** Row of the code table. */
export interface CodeEntry {
    /** HTTP status of the problem document that tells a caller of this code. */
    readonly status: number;
    /** Outcome when the place of the failure does not know better. */
    readonly outcome: Outcome;
    readonly summary: string;
}
