import { EventKind } from "../event_kind.ts";
import type { HistoryEvent } from "../history_event.ts";
import type { Predicate } from "../predicate.ts";
import type { Violation } from "../violation.ts";

interface Segment {
    readonly actor: string;
    readonly startMs: number;
    endMs: number;
    /** Activations since the start of the process. */
    readonly activations: HistoryEvent[];
}

/**
 * Requirement 7: each daemon has a configuration that stays readable, or a newer one, within `boundMs` milliseconds
 * from when it is published and the daemon is connected; a daemon that begins to serve already has those that are
 * older. A configuration that the platform stops serving within the bound counts from when it is readable again.
 */
export class ConfigSpreadPredicate implements Predicate {
    readonly name = "config-spread";

    constructor(private readonly boundMs: number) {}

    check(history: readonly HistoryEvent[]): readonly Violation[] {
        const segments = listSegments(history);
        const violations: Violation[] = [];
        const isPlatformLost = (event: HistoryEvent) =>
            event.kind === EventKind.DaemonDisconnected && event.actor === "platform";
        const lostMs = history.filter(isPlatformLost).map(event => event.atMs);
        const readable = history.filter(event =>
            event.kind === EventKind.ConfigReadable
            && !lostMs.some(atMs => atMs >= event.atMs && atMs < event.atMs + this.boundMs)
        );
        for (const published of readable) {
            for (const segment of segments) {
                const dueMs = Math.max(published.atMs, segment.startMs) + this.boundMs;
                const isActive = segment.activations.some(event =>
                    event.atMs <= dueMs && event.version! >= published.version!
                );
                if (dueMs <= segment.endMs && !isActive) {
                    const message = `${segment.actor} lacks version ${published.version} at ${dueMs} ms`;
                    violations.push({ predicate: this.name, message, events: [published] });
                }
            }
            violations.push(...this.checkServing(history, published));
        }
        return violations;
    }

    private checkServing(history: readonly HistoryEvent[], published: HistoryEvent): readonly Violation[] {
        const disconnected = new Set<string>();
        const violations: Violation[] = [];
        for (const event of history) {
            if (event.kind === EventKind.DaemonDisconnected) {
                disconnected.add(event.actor);
            }
            if (event.kind === EventKind.DaemonConnected) {
                disconnected.delete(event.actor);
            }
            const isLater = event.atMs >= published.atMs + this.boundMs;
            const isOlder = event.kind === EventKind.DaemonServing && event.version! < published.version!;
            if (isLater && isOlder && !disconnected.has(event.actor)) {
                const message = `${event.actor} serves with ${event.version} after ${published.version}`;
                violations.push({ predicate: this.name, message, events: [published, event] });
            }
        }
        return violations;
    }
}

/** Periods in which a daemon is connected without a break. */
function listSegments(history: readonly HistoryEvent[]): readonly Segment[] {
    const endMs = history.at(-1)?.atMs ?? 0;
    const open = new Map<string, Segment>();
    const activations = new Map<string, HistoryEvent[]>();
    const segments: Segment[] = [];
    for (const event of history) {
        const { kind, actor, atMs } = event;
        if (kind === EventKind.DaemonStarted) {
            activations.set(actor, []);
        }
        if (kind === EventKind.ConfigActivated) {
            activations.get(actor)?.push(event);
        }
        if (kind === EventKind.DaemonDisconnected || kind === EventKind.DaemonStarted) {
            const segment = open.get(actor);
            open.delete(actor);
            if (segment !== undefined) {
                segment.endMs = atMs;
            }
        }
        const isStart = kind === EventKind.DaemonStarted || kind === EventKind.DaemonConnected;
        if (isStart && !open.has(actor)) {
            const segment = { actor, startMs: atMs, endMs, activations: activations.get(actor) ?? [] };
            open.set(actor, segment);
            segments.push(segment);
        }
    }
    return segments;
}
