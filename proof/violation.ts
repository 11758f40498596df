import type { HistoryEvent } from "./history_event.ts";

/** A part of a history that breaks a predicate. */
export interface Violation {
    readonly predicate: string;
    readonly message: string;
    readonly events: readonly HistoryEvent[];
}
