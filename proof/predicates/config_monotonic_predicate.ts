import { EventKind } from "../event_kind.ts";
import type { HistoryEvent } from "../history_event.ts";
import type { Predicate } from "../predicate.ts";
import type { Violation } from "../violation.ts";

/**
 * Requirement 7: while a daemon runs, its configuration goes to higher versions only, and its content is one that
 * the platform published under this version.
 */
export class ConfigMonotonicPredicate implements Predicate {
    readonly name = "config-monotonic";

    check(history: readonly HistoryEvent[]): readonly Violation[] {
        const published = new Set<string>();
        for (const { kind, version, content } of history) {
            if (kind === EventKind.ConfigPublished) {
                published.add(`${version} ${content}`);
            }
        }
        const last = new Map<string, HistoryEvent>();
        const violations: Violation[] = [];
        for (const event of history) {
            if (event.kind === EventKind.DaemonStarted) {
                last.delete(event.actor);
            }
            if (event.kind !== EventKind.ConfigActivated) {
                continue;
            }
            const before = last.get(event.actor);
            if (before !== undefined && event.version! <= before.version!) {
                const message = `${event.actor} went from version ${before.version} to ${event.version}`;
                violations.push({ predicate: this.name, message, events: [before, event] });
            }
            if (!published.has(`${event.version} ${event.content}`)) {
                const message =
                    `${event.actor} activated content that was never published as ${event.version}`;
                violations.push({ predicate: this.name, message, events: [event] });
            }
            last.set(event.actor, event);
        }
        return violations;
    }
}
