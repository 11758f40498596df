import type { HistoryEvent } from "./history_event.ts";
import type { Violation } from "./violation.ts";

/** One point of docs/invariants.md, stated over a history. */
export interface Predicate {
    readonly name: string;
    /** `history` is ordered by time. */
    check(history: readonly HistoryEvent[]): readonly Violation[];
}
