/**
 * How far the other daemons of the failure domain have read the platform's store.
 *
 * @example
 * ```ts
 * progress.record(peer, ownRevision, nowMs);
 * const peer = progress.takeNewer(ownRevision);
 * ```
 *
 * @module
 */
import type { PeerRevision } from "../beacon/peer_revision.ts";
import { compareRevisions } from "./compare_revisions.ts";
import { noRevision } from "./no_revision.ts";
import type { StoreRevision } from "./store_revision.ts";

/** Remembers the newest revision and the daemon that reported it. */
export class PeerProgress {
    private revision = noRevision;
    private newest: PeerRevision | undefined;
    private behindSinceMs = Infinity;
    /** Newest revision after which changes are known that daemons do not pass on. */
    private largeAfter: StoreRevision | undefined;

    /** Returns true when the other daemon has read more than this one, or is reading a large change that this one lacks. */
    record(peer: PeerRevision, ownRevision: StoreRevision, nowMs: number): boolean {
        if (peer.hasLargeChange === true) {
            this.recordLargeChange(peer.revision);
        }
        if (compareRevisions(peer.revision, this.revision) > 0) {
            this.revision = peer.revision;
        }
        if (compareRevisions(peer.revision, ownRevision) <= 0) {
            return peer.hasLargeChange === true && this.hasLargeChange(ownRevision);
        }
        if (compareRevisions(peer.revision, this.newest?.revision ?? noRevision) >= 0) {
            this.newest = peer;
        }
        this.behindSinceMs = Math.min(this.behindSinceMs, nowMs);
        return true;
    }

    /** Records that the store has changes after a revision that are too large to be passed on. */
    private recordLargeChange(afterRevision: StoreRevision): void {
        if (this.largeAfter === undefined || compareRevisions(afterRevision, this.largeAfter) > 0) {
            this.largeAfter = afterRevision;
        }
    }

    /** True when a daemon that has read up to a revision must read a large change from the store itself. */
    hasLargeChange(ownRevision: StoreRevision): boolean {
        return this.largeAfter !== undefined && compareRevisions(ownRevision, this.largeAfter) <= 0;
    }

    /**
     * Records that another daemon does not send the changes after a revision, because they are too large or, if it holds
     * all values in their place, those are. The latter do not tell how large the changes are; this daemon reads them
     * without waiting.
     */
    recordTooLarge(afterRevision: StoreRevision, holdsAllValues: boolean): void {
        if (holdsAllValues) {
            this.behindSinceMs = -Infinity;
        }
        else {
            this.recordLargeChange(afterRevision);
        }
    }

    /** Newest revision that another daemon has read. */
    getRevision(): StoreRevision {
        return this.revision;
    }

    /** The daemon to ask for newer changes; each report is returned once. */
    takeNewer(ownRevision: StoreRevision): PeerRevision | undefined {
        const { newest } = this;
        this.newest = undefined;
        return newest !== undefined && compareRevisions(newest.revision, ownRevision) > 0
            ? newest
            : undefined;
    }

    /** Records that this daemon has read up to a revision; the store itself has none that is newer. */
    recordOwn(ownRevision: StoreRevision, isFromStore: boolean): void {
        if (isFromStore && compareRevisions(this.revision, ownRevision) > 0) {
            this.revision = ownRevision;
        }
        if (compareRevisions(this.revision, ownRevision) <= 0) {
            this.behindSinceMs = Infinity;
        }
    }

    /** Time since which another daemon has a newer revision; infinite when none has. */
    getBehindSinceMs(): number {
        return this.behindSinceMs;
    }
}
