import type { HistoryEvent } from "./history_event.ts";
import type { Violation } from "./violation.ts";

/** One invariant of docs/invariants.md as a check of a history. */
export interface Predicate {
    readonly name: string;
    /** `history` is in chronological order. */
    check(history: readonly HistoryEvent[]): readonly Violation[];
}
