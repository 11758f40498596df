import { EventKind } from "../event_kind.ts";
import type { HistoryEvent } from "../history_event.ts";
import type { Predicate } from "../predicate.ts";
import type { Violation } from "../violation.ts";

/**
 * Requirement 2: the complete content of an answer was produced by an upstream for the caller's own
 * operation, and a caller gets at most one answer for each request.
 */
export class OwnAnswerPredicate implements Predicate {
    readonly name = "own-answer";

    check(history: readonly HistoryEvent[]): readonly Violation[] {
        const upstreamAnswers = new Set<string>();
        const answered = new Set<string>();
        const violations: Violation[] = [];
        for (const event of history) {
            const { kind, operation, content, requestId } = event;
            if (kind === EventKind.UpstreamExecuted && content !== undefined) {
                upstreamAnswers.add(`${operation} ${content}`);
            }
            if (kind !== EventKind.CallerAnswered) {
                continue;
            }
            if (content !== undefined && !upstreamAnswers.has(`${operation} ${content}`)) {
                violations.push(
                    this.buildViolation(
                        `${requestId} was answered with "${content}", which no upstream produced for it`,
                        event,
                    ),
                );
            }
            if (requestId !== undefined && answered.has(requestId)) {
                violations.push(this.buildViolation(`${requestId} was answered twice`, event));
            }
            answered.add(requestId ?? "");
        }
        return violations;
    }

    private buildViolation(message: string, event: HistoryEvent): Violation {
        return { predicate: this.name, message, events: [event] };
    }
}
