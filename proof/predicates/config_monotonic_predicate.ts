import { EventKind } from "../event_kind.ts";
import type { HistoryEvent } from "../history_event.ts";
import type { Predicate } from "../predicate.ts";
import type { Violation } from "../violation.ts";

/**
 * Requirement 7: while a daemon runs, the version of its configuration only increases, and the content is
 * what the platform published under that version.
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
        const lastActivations = new Map<string, HistoryEvent>();
        const violations: Violation[] = [];
        for (const event of history) {
            if (event.kind === EventKind.DaemonStarted) {
                lastActivations.delete(event.actor);
            }
            if (event.kind !== EventKind.ConfigActivated) {
                continue;
            }
            const previous = lastActivations.get(event.actor);
            if (previous !== undefined && event.version! <= previous.version!) {
                const message = `${event.actor} went from version ${previous.version} to ${event.version}`;
                violations.push({ predicate: this.name, message, events: [previous, event] });
            }
            if (!published.has(`${event.version} ${event.content}`)) {
                const message =
                    `${event.actor} activated content that was never published as ${event.version}`;
                violations.push({ predicate: this.name, message, events: [event] });
            }
            lastActivations.set(event.actor, event);
        }
        return violations;
    }
}
