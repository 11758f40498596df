import { EventKind } from "../event_kind.ts";
import type { HistoryEvent } from "../history_event.ts";
import type { Predicate } from "../predicate.ts";
import type { Violation } from "../violation.ts";

/**
 * Requirement 5: no request starts at an upstream more than `boundMs` milliseconds after it began to leave,
 * until it returns.
 */
export class LeavingPredicate implements Predicate {
    readonly name = "leaving";

    constructor(private readonly boundMs: number) {}

    check(history: readonly HistoryEvent[]): readonly Violation[] {
        const leaving = new Map<string, HistoryEvent>();
        const violations: Violation[] = [];
        for (const event of history) {
            const { kind, upstreamId = "" } = event;
            if (kind === EventKind.UpstreamLeaving && !leaving.has(upstreamId)) {
                leaving.set(upstreamId, event);
            }
            else if (kind === EventKind.UpstreamReturned) {
                leaving.delete(upstreamId);
            }
            const leavingEvent = leaving.get(upstreamId);
            if (
                kind === EventKind.UpstreamStarted && leavingEvent !== undefined &&
                event.atMs > leavingEvent.atMs + this.boundMs
            ) {
                const message = `${upstreamId} started a request ${
                    event.atMs - leavingEvent.atMs
                } ms after it began to leave`;
                violations.push({ predicate: this.name, message, events: [leavingEvent, event] });
            }
        }
        return violations;
    }
}
