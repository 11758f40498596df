import { EventKind } from "../event_kind.ts";
import type { HistoryEvent } from "../history_event.ts";
import type { Predicate } from "../predicate.ts";
import type { Violation } from "../violation.ts";

/** Requirement 4: upstreams execute each non-idempotent operation at most once. */
export class AtMostOncePredicate implements Predicate {
    readonly name = "at-most-once";

    check(history: readonly HistoryEvent[]): readonly Violation[] {
        const executions = new Map<string, HistoryEvent[]>();
        for (const event of history) {
            const { kind, operation, idempotent } = event;
            if (kind === EventKind.UpstreamExecuted && idempotent !== true && operation !== undefined) {
                executions.set(operation, [...executions.get(operation) ?? [], event]);
            }
        }
        return [...executions].filter(([, events]) => events.length > 1).map(([operation, events]) => ({
            predicate: this.name,
            message: `operation ${operation} was executed ${events.length} times`,
            events,
        }));
    }
}
