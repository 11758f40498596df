import { EventKind } from "../event_kind.ts";
import type { HistoryEvent } from "../history_event.ts";
import type { Predicate } from "../predicate.ts";
import type { Violation } from "../violation.ts";

interface ConnectedPeriod {
    readonly actor: string;
    readonly startMs: number;
    endMs: number;
    /** Activations since the start of the process. */
    readonly activations: HistoryEvent[];
}

/**
 * Requirement 7: a connected daemon activates each configuration that stays readable, or a newer one, within
 * `boundMs` milliseconds of its publication or of the daemon's connection, whichever is later. A daemon that
 * begins to serve has already activated each configuration that became readable at least `boundMs` earlier.
 * If the platform stops serving a configuration within the bound, the bound restarts when the configuration
 * is readable again.
 */
export class ConfigSpreadPredicate implements Predicate {
    readonly name = "config-spread";

    constructor(private readonly boundMs: number) {}

    check(history: readonly HistoryEvent[]): readonly Violation[] {
        const periods = listConnectedPeriods(history);
        const violations: Violation[] = [];
        const isPlatformOutage = (event: HistoryEvent) =>
            event.kind === EventKind.DaemonDisconnected && event.actor === "platform";
        const outageStartsMs = history.filter(isPlatformOutage).map(event => event.atMs);
        const readable = history.filter(event =>
            event.kind === EventKind.ConfigReadable
            && !outageStartsMs.some(atMs => atMs >= event.atMs && atMs < event.atMs + this.boundMs)
        );
        for (const published of readable) {
            for (const period of periods) {
                const dueMs = Math.max(published.atMs, period.startMs) + this.boundMs;
                const isActive = period.activations.some(event =>
                    event.atMs <= dueMs && event.version! >= published.version!
                );
                if (dueMs <= period.endMs && !isActive) {
                    const message = `${period.actor} lacks version ${published.version} at ${dueMs} ms`;
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

/** Lists the periods in which a daemon is connected without interruption. */
function listConnectedPeriods(history: readonly HistoryEvent[]): readonly ConnectedPeriod[] {
    const endMs = history.at(-1)?.atMs ?? 0;
    const openPeriods = new Map<string, ConnectedPeriod>();
    const activations = new Map<string, HistoryEvent[]>();
    const periods: ConnectedPeriod[] = [];
    for (const event of history) {
        const { kind, actor, atMs } = event;
        if (kind === EventKind.DaemonStarted) {
            activations.set(actor, []);
        }
        if (kind === EventKind.ConfigActivated) {
            activations.get(actor)?.push(event);
        }
        if (kind === EventKind.DaemonDisconnected || kind === EventKind.DaemonStarted) {
            const period = openPeriods.get(actor);
            openPeriods.delete(actor);
            if (period !== undefined) {
                period.endMs = atMs;
            }
        }
        const isStart = kind === EventKind.DaemonStarted || kind === EventKind.DaemonConnected;
        if (isStart && !openPeriods.has(actor)) {
            const period = { actor, startMs: atMs, endMs, activations: activations.get(actor) ?? [] };
            openPeriods.set(actor, period);
            periods.push(period);
        }
    }
    return periods;
}
