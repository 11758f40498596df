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

    /** Returns true when the other daemon has read more than this one. */
    record(peer: PeerRevision, ownRevision: StoreRevision, nowMs: number): boolean {
        if (compareRevisions(peer.revision, this.revision) > 0) {
            this.revision = peer.revision;
        }
        if (compareRevisions(peer.revision, ownRevision) <= 0) {
            return false;
        }
        if (compareRevisions(peer.revision, this.newest?.revision ?? noRevision) >= 0) {
            this.newest = peer;
        }
        this.behindSinceMs = Math.min(this.behindSinceMs, nowMs);
        return true;
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
