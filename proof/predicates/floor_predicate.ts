import { EventKind } from "../event_kind.ts";
import type { HistoryEvent } from "../history_event.ts";
import type { Predicate } from "../predicate.ts";
import type { Violation } from "../violation.ts";

/** Requirement 1: ejection leaves at least the floor, or all live upstreams if fewer, in rotation. */
export class FloorPredicate implements Predicate {
    readonly name = "floor";

    check(history: readonly HistoryEvent[]): readonly Violation[] {
        return history.flatMap(event => {
            if (event.kind !== EventKind.RotationComputed) {
                return [];
            }
            const size = new Set(event.members).size;
            const required = Math.min(event.live ?? 0, event.floor ?? 0);
            const message =
                `${event.actor} has ${size} upstreams of ${event.service} in rotation; at least ${required} required`;
            return size >= required ? [] : [{ predicate: this.name, message, events: [event] }];
        });
    }
}
