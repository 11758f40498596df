import type { HistoryEvent } from "./history_event.ts";

/** Events of a history that violate a predicate. */
export interface Violation {
    readonly predicate: string;
    readonly message: string;
    readonly events: readonly HistoryEvent[];
}
