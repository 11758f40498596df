import { Code } from "../../src/core/code.ts";
import { EventKind } from "../event_kind.ts";
import type { HistoryEvent } from "../history_event.ts";
import type { Predicate } from "../predicate.ts";
import type { Violation } from "../violation.ts";

const cutCodes: readonly (Code | undefined)[] = [Code.PeerCut, Code.UpstreamCut, Code.PeerUnreachable];

/** Requirement 6: when daemons only stop gracefully, each received request gets a complete answer. */
export class GracefulStopPredicate implements Predicate {
    readonly name = "graceful-stop";

    check(history: readonly HistoryEvent[]): readonly Violation[] {
        const answered = new Map<string, HistoryEvent>();
        for (const event of history) {
            if (event.kind === EventKind.CallerAnswered) {
                answered.set(event.requestId!, event);
            }
        }
        const violations: Violation[] = [];
        for (const sent of history.filter(event => event.kind === EventKind.CallerSent)) {
            const answer = answered.get(sent.requestId!);
            if (answer === undefined || cutCodes.includes(answer.code)) {
                const message = `${sent.requestId} ${
                    answer === undefined ? "was not answered" : "was answered with a connection failure"
                }`;
                violations.push({
                    predicate: this.name,
                    message,
                    events: answer === undefined ? [sent] : [sent, answer],
                });
            }
        }
        return violations;
    }
}
