import type { Clock } from "../core/clock.ts";
import { LogLevel } from "../core/log_level.ts";
import type { Logger } from "../core/logger.ts";
import type { Timer } from "../core/timer.ts";
import type { Timers } from "../core/timers.ts";
import type { Upstream } from "../core/upstream.ts";
import type { MembershipTable } from "../membership/membership_table.ts";
import { compareRevisions } from "./compare_revisions.ts";
import { noRevision } from "./no_revision.ts";
import { StoreChangeKind } from "./store_change_kind.ts";
import type { StorePage } from "./store_page.ts";
import type { StoreRevision } from "./store_revision.ts";

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

/**
 * Milliseconds after which an entry that a restored store lists, and that was removed before, counts as written by a
 * live upstream: an upstream writes every 1.5 s, and its entry expires after three missed writes.
 */
const copyReviewMs = 6_000;

interface StoredEntry {
    readonly upstream: Upstream | undefined;
    /** The upstream as it was before it was removed. */
    readonly last: Upstream | undefined;
    readonly revision: StoreRevision;
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
    /** Entries of a restored store for upstreams that were removed before, until they are written again. */
    private readonly doubted = new Map<string, Upstream>();
    private reviewTimer: Timer | undefined;

    constructor(private readonly options: Options) {}

    /**
     * Adds the entry of an upstream. An entry of a page with all values may come from the older copy of which the
     * store was restored; it replaces what this daemon knows only if the upstream wrote it later.
     */
    add(upstream: Upstream, revision: StoreRevision, isFromAll: boolean): void {
        const { id } = upstream;
        const known = this.entries.get(id);
        if (known !== undefined && compareRevisions(revision, known.revision) <= 0) {
            return;
        }
        this.expired.delete(id);
        const isRestored = isFromAll && known !== undefined && known.revision.era < revision.era;
        if (isRestored && known.last !== undefined && !isWrittenLater(upstream, known.last)) {
            this.entries.set(id, { ...known, revision });
            if (known.upstream === undefined) {
                this.startReview(upstream);
            }
            return;
        }
        this.doubted.delete(id);
        this.set(id, upstream, revision);
    }

    remove(upstreamId: string, revision: StoreRevision): void {
        const known = this.entries.get(upstreamId);
        if (known !== undefined && compareRevisions(revision, known.revision) <= 0) {
            return;
        }
        this.doubted.delete(upstreamId);
        if (known?.upstream !== undefined && !known.upstream.leaving && this.getRecoveryMs() > 0) {
            this.expired.add(upstreamId);
            this.entries.set(upstreamId, { ...known, revision });
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

    close(): void {
        this.recoveryTimer?.close();
        this.reviewTimer?.close();
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
            this.set(id, undefined, this.entries.get(id)?.revision ?? noRevision);
        }
        this.expired.clear();
        this.merge();
    }

    private startReview(upstream: Upstream): void {
        this.doubted.set(upstream.id, upstream);
        this.reviewTimer ??= this.options.timers.start(copyReviewMs, () => this.addDoubted());
    }

    /** Adds the entries that the restored store still lists. */
    private addDoubted(): void {
        this.reviewTimer = undefined;
        for (const [id, upstream] of this.doubted) {
            this.set(id, upstream, this.entries.get(id)?.revision ?? noRevision);
        }
        this.doubted.clear();
        this.merge();
    }

    private set(upstreamId: string, upstream: Upstream | undefined, revision: StoreRevision): void {
        const last = upstream ?? this.entries.get(upstreamId)?.last;
        this.entries.set(upstreamId, { upstream, last, revision });
        this.changed = true;
    }

    /** Milliseconds for which upstreams may still write again the entries that expired in an outage, or 0. */
    getRecoveryMs(): number {
        return Math.max(0, this.recoversUntilMs - this.options.clock.getMonotonicMs());
    }
}

/** True when the upstream wrote `entry` after `known`, by its start and by its count of writes since. */
function isWrittenLater(entry: Upstream, known: Upstream): boolean {
    const bornDifferenceMs = (entry.bornMs ?? 0) - (known.bornMs ?? 0);
    return bornDifferenceMs > 0 || (bornDifferenceMs === 0 && (entry.sequence ?? 0) > (known.sequence ?? 0));
}
