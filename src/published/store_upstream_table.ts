import type { Clock } from "../core/clock.ts";
import { LogLevel } from "../core/log_level.ts";
import type { Logger } from "../core/logger.ts";
import type { Timer } from "../core/timer.ts";
import type { Timers } from "../core/timers.ts";
import type { Upstream } from "../core/upstream.ts";
import type { MembershipTable } from "../membership/membership_table.ts";
import { StoreChangeKind } from "./store_change_kind.ts";
import type { StorePage } from "./store_page.ts";

interface Options {
    readonly clock: Clock;
    readonly timers: Timers;
    readonly logger: Logger;
    readonly membership: MembershipTable;
}

/**
 * Milliseconds after an outage of the platform in which live upstreams write the entries again that expired
 * during the outage. Until then, upstreams without an entry are kept.
 */
const recoveryGraceMs = 2_000;

interface StoredEntry {
    readonly upstream: Upstream | undefined;
    readonly revision: number;
}

/** Upstreams of the store with the revision of each, so that an older change never replaces a newer one. */
export class StoreUpstreamTable {
    private readonly entries = new Map<string, StoredEntry>();
    /** Counts the lists that were passed to the membership table. */
    private version = 0;
    private changed = false;
    private recoversUntilMs = -Infinity;
    private recoveryTimer: Timer | undefined;
    /** Upstreams whose entries expired in an outage; they are kept until `recoversUntilMs`. */
    private readonly expired = new Set<string>();

    constructor(private readonly options: Options) {}

    add(upstream: Upstream, revision: number): void {
        if (this.isNewer(upstream.id, revision)) {
            this.set(upstream.id, upstream, revision);
            this.expired.delete(upstream.id);
        }
    }

    remove(upstreamId: string, revision: number): void {
        if (!this.isNewer(upstreamId, revision)) {
            return;
        }
        const known = this.entries.get(upstreamId);
        if (known?.upstream !== undefined && !known.upstream.leaving && this.getRecoveryMs() > 0) {
            this.expired.add(upstreamId);
            this.entries.set(upstreamId, { upstream: known.upstream, revision });
            return;
        }
        this.set(upstreamId, undefined, revision);
    }

    /** Removes the upstreams that are not in a complete page. */
    removeUnlisted(page: StorePage): void {
        const listed = new Set<string>();
        for (const change of page.changes) {
            if (change.kind === StoreChangeKind.Upstream) {
                listed.add(change.upstream.id);
            }
        }
        for (const id of [...this.entries.keys()]) {
            if (!listed.has(id)) {
                this.remove(id, page.revision);
            }
        }
    }

    /**
     * Records that the platform answered again after an outage at a monotonic time in milliseconds. The grace
     * counts from there at each daemon that learns of it, so that the delays of several daemons do not add up.
     */
    recordPlatformRecovery(answeredMs: number): void {
        this.startRecovery(answeredMs + recoveryGraceMs - this.options.clock.getMonotonicMs());
    }

    /** Keeps upstreams without an entry for some milliseconds, at most for the grace after an outage. */
    startRecovery(durationMs: number): void {
        const { clock, logger, timers } = this.options;
        const untilMs = clock.getMonotonicMs() + Math.min(durationMs, recoveryGraceMs);
        if (untilMs <= this.recoversUntilMs || durationMs <= 0) {
            return;
        }
        logger.write(LogLevel.Info, "platform_recovery", { durationMs: Math.round(durationMs) });
        this.recoversUntilMs = untilMs;
        this.recoveryTimer?.close();
        this.recoveryTimer = timers.start(untilMs - clock.getMonotonicMs(), () => this.removeExpired());
    }

    /** Merges the list into the membership table when it has changed. */
    merge(): void {
        if (!this.changed) {
            return;
        }
        this.changed = false;
        this.version += 1;
        const { version } = this;
        const upstreams = [...this.entries.values()].flatMap(({ upstream }) => upstream ?? []);
        const result = this.options.membership.merge({ version, upstreams }, `${version}`, "platform");
        if (result.isErr()) {
            const { code, detail } = result.error;
            this.options.logger.write(LogLevel.Warn, "instance_list_refused", { code, detail });
        }
    }

    private removeExpired(): void {
        for (const id of this.expired) {
            this.set(id, undefined, this.entries.get(id)?.revision ?? 0);
        }
        this.expired.clear();
        this.merge();
    }

    private set(upstreamId: string, upstream: Upstream | undefined, revision: number): void {
        this.entries.set(upstreamId, { upstream, revision });
        this.changed = true;
    }

    /** Milliseconds for which upstreams may still write again the entries that expired in an outage, or 0. */
    getRecoveryMs(): number {
        return Math.max(0, this.recoversUntilMs - this.options.clock.getMonotonicMs());
    }

    private isNewer(upstreamId: string, revision: number): boolean {
        const known = this.entries.get(upstreamId);
        return known === undefined || revision > known.revision;
    }
}
