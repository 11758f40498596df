import type { HistoryEvent } from "./history_event.ts";

/** Collects the events of a run. */
export class HistoryRecorder {
    private readonly events: HistoryEvent[] = [];

    record(event: HistoryEvent): void {
        this.events.push(event);
    }

    list(): readonly HistoryEvent[] {
        return this.events;
    }
}
