import { Outcome } from "../../src/core/outcome.ts";
import { EventKind } from "../event_kind.ts";
import type { HistoryEvent } from "../history_event.ts";
import type { Predicate } from "../predicate.ts";
import type { Violation } from "../violation.ts";

/**
 * Requirement 3: an operation reported to a caller as `not-executed` is executed neither before nor after the
 * report; one reported as `executed` was executed before the report.
 */
export class TruthfulOutcomePredicate implements Predicate {
    readonly name = "truthful-outcome";

    check(history: readonly HistoryEvent[]): readonly Violation[] {
        const firstExecutions = new Map<string, HistoryEvent>();
        for (const event of history) {
            const { kind, operation } = event;
            if (
                kind === EventKind.UpstreamExecuted && operation !== undefined &&
                !firstExecutions.has(operation)
            ) {
                firstExecutions.set(operation, event);
            }
        }
        return history.flatMap(event => {
            const { kind, operation, outcome } = event;
            if (kind !== EventKind.CallerAnswered || operation === undefined) {
                return [];
            }
            const execution = firstExecutions.get(operation);
            if (outcome === Outcome.NotExecuted && execution !== undefined) {
                return [
                    this.buildViolation(
                        `${operation} was reported as not-executed but executed`,
                        event,
                        execution,
                    ),
                ];
            }
            const isPremature = outcome === Outcome.Executed &&
                (execution === undefined || execution.atMs > event.atMs);
            return isPremature
                ? [this.buildViolation(`${operation} was reported as executed before it was executed`, event)]
                : [];
        });
    }

    private buildViolation(message: string, ...events: HistoryEvent[]): Violation {
        return { predicate: this.name, message, events };
    }
}
