import { Outcome } from "../../src/core/outcome.ts";
import { EventKind } from "../event_kind.ts";
import type { HistoryEvent } from "../history_event.ts";
import type { Predicate } from "../predicate.ts";
import type { Violation } from "../violation.ts";

/**
 * Requirement 3: an operation of which a caller was told `not-executed` is executed neither before nor after;
 * one of which a caller was told `executed` was executed before.
 */
export class TruthfulOutcomePredicate implements Predicate {
    readonly name = "truthful-outcome";

    check(history: readonly HistoryEvent[]): readonly Violation[] {
        const firstRun = new Map<string, HistoryEvent>();
        for (const event of history) {
            const { kind, operation } = event;
            if (kind === EventKind.UpstreamExecuted && operation !== undefined && !firstRun.has(operation)) {
                firstRun.set(operation, event);
            }
        }
        return history.flatMap(event => {
            const { kind, operation, outcome } = event;
            if (kind !== EventKind.CallerAnswered || operation === undefined) {
                return [];
            }
            const run = firstRun.get(operation);
            if (outcome === Outcome.NotExecuted && run !== undefined) {
                return [
                    this.buildViolation(`${operation} was told not-executed and was executed`, event, run),
                ];
            }
            const early = outcome === Outcome.Executed && (run === undefined || run.atMs > event.atMs);
            return early ? [this.buildViolation(`${operation} was told executed and was not`, event)] : [];
        });
    }

    private buildViolation(message: string, ...events: HistoryEvent[]): Violation {
        return { predicate: this.name, message, events };
    }
}
