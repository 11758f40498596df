/**
 * Follows the platform's store. One daemon of a failure domain watches it; the others fetch the changes from the
 * daemon that announces them. A daemon reads the store itself when no daemon of its failure domain is known to
 * have reached it lately, and reads all values again when the changes since its last read are gone.
 *
 * @example
 * ```ts
 * const follower = new StoreFollower({ store, peers, configs, membership, clock, timers, random, ...rest });
 * await follower.start();
 * follower.close();
 * ```
 *
 * @module
 */
import type { PeerRevision } from "../beacon/peer_revision.ts";
import type { RevisionExchange } from "../beacon/revision_exchange.ts";
import { LogLevel } from "../core/log_level.ts";
import type { Timer } from "../core/timer.ts";
import { compareRevisions } from "./compare_revisions.ts";
import { ConfigProof } from "./config_proof.ts";
import { ConfigProofMonitor } from "./config_proof_monitor.ts";
import type { ControlPlane } from "./control_plane.ts";
import { noRevision } from "./no_revision.ts";
import type { PeerChanges } from "./peer_changes.ts";
import { PeerProgress } from "./peer_progress.ts";
import { StoreChangeApplier } from "./store_change_applier.ts";
import type { StoreChangesSource } from "./store_changes_source.ts";
import { StoreContact } from "./store_contact.ts";
import type { StoreFollowerOptions } from "./store_follower_options.ts";
import { StoreHistory } from "./store_history.ts";
import type { StorePage } from "./store_page.ts";
import type { StoreRead } from "./store_read.ts";
import { StoreReadPolicy } from "./store_read_policy.ts";
import { StoreReader } from "./store_reader.ts";
import type { StoreRevision } from "./store_revision.ts";

/** Milliseconds between a change and the next watch, so that changes in quick succession cost one call. */
const coalescingDelayMs = 400;
/**
 * Milliseconds for which another daemon may have a newer revision before the watch of this one counts as
 * stale. The coalescing delay and a slow answer of the store cause a shorter lag, and the remaining time
 * suffices to put a change in force in time.
 */
const maxLagMs = 800;
/** Milliseconds before the next step after an unexpected error. */
const errorDelayMs = 1_000;
/** Longest time in milliseconds until a daemon checks again whether it should watch the store. */
const roleCheckMs = 500;

/** Control plane of a daemon that shares what it reads of the platform's store with its failure domain. */
export class StoreFollower implements ControlPlane, RevisionExchange, StoreChangesSource {
    readonly proof: ConfigProof;
    private readonly applier: StoreChangeApplier;
    private readonly contact = new StoreContact();
    private readonly history = new StoreHistory();
    private readonly progress = new PeerProgress();
    private readonly proofMonitor: ConfigProofMonitor;
    private readonly policy: StoreReadPolicy;
    private readonly reader: StoreReader;
    /** Revision to continue from; undefined when all values must be read. */
    private revision: StoreRevision | undefined;
    /** Era of the last page; the store came back from an older copy when that of a page is later. */
    private era = 0;
    private lagTimer: Timer | undefined;
    private hasRead = false;
    private closed = false;
    /** Ends the current wait. */
    private wake: () => void = () => undefined;
    private resolveReady: () => void = () => undefined;
    private readonly ready = new Promise<void>(resolve => {
        this.resolveReady = resolve;
    });

    constructor(private readonly options: StoreFollowerOptions) {
        this.applier = new StoreChangeApplier(options);
        this.policy = new StoreReadPolicy(options);
        this.proof = new ConfigProof({ getVersion: () => options.configs.getActive()?.version });
        this.proofMonitor = new ConfigProofMonitor(this.proof, options);
        const handleRecovery = (answeredMs: number) =>
            this.applier.upstreams.recordPlatformRecovery(answeredMs);
        const handleContact = () => options.peers.sendContact();
        this.reader = new StoreReader({
            ...options,
            contact: this.contact,
            handleContact,
            handleRecovery,
            handleLargeChange: () => options.peers.sendRevision(),
        });
    }

    async start(): Promise<void> {
        void this.run();
        this.proofMonitor.start();
        const limit = this.options.timers.start(this.options.startWaitMs, () => this.resolveReady());
        await this.ready;
        limit.close();
    }

    close(): void {
        this.closed = true;
        this.wake();
        this.lagTimer?.close();
        this.proofMonitor.close();
        this.applier.upstreams.close();
        this.options.store.close();
    }

    getRevision(): StoreRevision {
        return this.revision ?? noRevision;
    }

    hasLargeChange(): boolean {
        return this.reader.isReadingLargeChange();
    }

    getStoreAgeMs(): number | undefined {
        const ageMs = this.contact.getAgeMs(this.options.clock.getMonotonicMs());
        return Number.isFinite(ageMs) ? ageMs : undefined;
    }

    findChanges(afterRevision: StoreRevision): PeerChanges | undefined {
        const changes = this.history.find(afterRevision, this.options.clock.getMonotonicMs());
        return changes && { ...changes, recoveryMs: this.applier.upstreams.getRecoveryMs() };
    }

    recordPeer(peer: PeerRevision): void {
        const nowMs = this.options.clock.getMonotonicMs();
        if (peer.storeAgeMs !== undefined) {
            this.contact.recordPeer(peer.storeAgeMs, nowMs);
            this.reader.recordAnswer(nowMs - this.contact.getAgeMs(nowMs));
        }
        if (this.closed || this.revision === undefined || !this.progress.record(peer, this.revision, nowMs)) {
            return;
        }
        this.startLagTimer();
        this.wake();
    }

    /**
     * A connection to the store can become unresponsive while new connections work. A daemon that lags behind
     * another one aborts its watch and opens a new one.
     */
    private startLagTimer(): void {
        const startRevision = this.revision;
        this.lagTimer ??= this.options.timers.start(maxLagMs, () => {
            this.lagTimer = undefined;
            if (this.revision === startRevision) {
                this.reader.cancelStaleWatch(this.progress.getRevision());
            }
        });
    }

    private async run(): Promise<void> {
        while (!this.closed) {
            const delayMs = await this.runOnce().catch((error: unknown) => this.recordUnexpectedError(error));
            if (delayMs > 0) {
                await this.wait(delayMs);
            }
        }
    }

    /** Makes one call at most and returns the delay before the next step in milliseconds. */
    private async runOnce(): Promise<number> {
        const { clock, peers } = this.options;
        if (this.revision === undefined) {
            return this.readStore({ afterRevision: undefined, waitMs: 0, isFallback: false });
        }
        const rank = peers.getRank();
        if (await this.fetchFromPeer(this.revision)) {
            return rank === 0 ? coalescingDelayMs : 0;
        }
        if (this.progress.hasLargeChange(this.revision)) {
            return this.readLargeChange();
        }
        const nowMs = clock.getMonotonicMs();
        const proof = { ageMs: nowMs - this.proof.getProvedMs(), blockedMs: this.proof.getBlockedMs(nowMs) };
        if (rank === 0) {
            const waitMs = this.policy.computeWatchMs(proof);
            return this.readStore({ afterRevision: this.revision, waitMs, isFallback: false });
        }
        const contactAgeMs = this.contact.getAgeMs(nowMs);
        const behindMs = nowMs - this.progress.getBehindSinceMs();
        const delayMs = this.policy.computeDelayMs({ rank, contactAgeMs, behindMs, proof });
        if (delayMs > 0) {
            return Math.min(Math.ceil(delayMs), roleCheckMs);
        }
        this.options.logger.write(LogLevel.Info, "platform_read_directly", {
            rank,
            contactAgeMs: Math.round(Math.min(contactAgeMs, Number.MAX_SAFE_INTEGER)),
            behindMs: Math.round(Math.min(Math.max(0, behindMs), Number.MAX_SAFE_INTEGER)),
            proofAgeMs: Math.round(Math.min(proof.ageMs, Number.MAX_SAFE_INTEGER)),
        });
        const waitMs = this.policy.getPollMs();
        return this.readStore({ afterRevision: this.revision, waitMs, isFallback: true });
    }

    /**
     * Reads what the daemons do not pass on to each other, without waiting until the one that announced it has read it:
     * the times of two reads in a row may exceed that within which a change must be in force. All values contain only the
     * newest version of each, and the changes every version since the last read.
     */
    private readLargeChange(): Promise<number> {
        this.options.logger.write(LogLevel.Info, "platform_read_directly", { hasLargeChange: true });
        return this.readStore({ afterRevision: undefined, waitMs: 0, isFallback: true });
    }

    /** True when another daemon sent newer changes, which are in force now. */
    private async fetchFromPeer(revision: StoreRevision): Promise<boolean> {
        const { metrics, peers, store } = this.options;
        const peer = this.progress.takeNewer(revision);
        if (peer === undefined) {
            return false;
        }
        const changes = await peers.fetchChanges(peer.address, revision);
        metrics.addCount("platform.peer_reads", { failed: `${changes.isErr()}` });
        if (changes.isErr() || compareRevisions(changes.value.revision, revision) <= 0) {
            return false;
        }
        const { complete, items, recoveryMs, tooLarge } = changes.value;
        this.applier.upstreams.startRecovery(recoveryMs);
        if (tooLarge === true) {
            this.progress.recordTooLarge(revision, complete);
            return false;
        }
        const page = { revision: changes.value.revision, items, changes: store.decode(items) };
        this.apply(page, complete ? undefined : revision);
        return true;
    }

    /** Reads all values, or the changes after a revision, and returns the delay before the next step. */
    private async readStore(read: StoreRead): Promise<number> {
        const { afterRevision, isFallback } = read;
        const result = await this.reader.read(read);
        if (this.closed) {
            return 0;
        }
        if (result.isErr()) {
            this.revision = result.error.mustReadAll ? undefined : this.revision;
            return result.error.delayMs;
        }
        const { heldMs, page, transferMs } = result.value;
        const isFirst = !this.hasRead;
        this.hasRead = true;
        this.progress.recordOwn(page.revision, true);
        if (!isFirst && page.revision.era > this.era) {
            this.applier.upstreams.recordPlatformRecovery(this.options.clock.getMonotonicMs());
        }
        this.apply(page, afterRevision);
        this.proof.recordAnswer(heldMs);
        if (page.changes.length === 0) {
            return 0;
        }
        // At its start, a daemon reads nothing that the others lack; a large change is known to all of them.
        if (!isFirst && !(isFallback && afterRevision === undefined)) {
            this.options.peers.sendRevision();
        }
        // The time of a long answer has spaced the calls already, and during it the next large change may have come.
        return this.progress.hasLargeChange(page.revision) ? 0 : Math.max(0, coalescingDelayMs - transferMs);
    }

    /** `afterRevision` is undefined for a page with all values. */
    private apply(page: StorePage, afterRevision: StoreRevision | undefined): void {
        this.recordEra(page.revision.era);
        this.revision = page.revision;
        this.progress.recordOwn(page.revision, false);
        this.history.record(afterRevision, page, this.options.clock.getMonotonicMs());
        this.applier.apply(page, afterRevision === undefined);
        this.proof.recordApplied(this.applier.isConfigurationCurrent(), this.options.clock.getMonotonicMs());
        if (this.options.configs.getActive() !== undefined) {
            this.resolveReady();
        }
    }

    private recordEra(era: number): void {
        const { clock, logger, metrics } = this.options;
        if (era > this.era) {
            logger.write(LogLevel.Warn, "platform_restored", { era, before: this.era });
            metrics.addCount("platform.era_changes");
            this.proof.recordLoss(clock.getMonotonicMs());
        }
        this.era = era;
    }

    /** Keeps following the store after an error that no call reports; returns the delay before the next step. */
    private recordUnexpectedError(error: unknown): number {
        this.options.logger.write(LogLevel.Error, "platform_follow_failed", { detail: String(error) });
        return errorDelayMs;
    }

    /** Waits, at most until another daemon reports newer changes. */
    private wait(delayMs: number): Promise<void> {
        return new Promise(resolve => {
            const timer = this.options.timers.start(delayMs, resolve);
            this.wake = () => {
                timer.close();
                resolve();
            };
        });
    }
}
