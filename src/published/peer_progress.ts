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

/** Remembers the newest revision and the daemon that reported it. */
export class PeerProgress {
    private revision = 0;
    private newest: PeerRevision | undefined;
    private behindSinceMs = Infinity;

    /** Returns true when the other daemon has read more than this one. */
    record(peer: PeerRevision, ownRevision: number, nowMs: number): boolean {
        this.revision = Math.max(this.revision, peer.revision);
        if (peer.revision <= ownRevision) {
            return false;
        }
        if (peer.revision >= (this.newest?.revision ?? 0)) {
            this.newest = peer;
        }
        this.behindSinceMs = Math.min(this.behindSinceMs, nowMs);
        return true;
    }

    /** Newest revision that another daemon has read. */
    getRevision(): number {
        return this.revision;
    }

    /** The daemon to ask for newer changes; each report is returned once. */
    takeNewer(ownRevision: number): PeerRevision | undefined {
        const { newest } = this;
        this.newest = undefined;
        return newest !== undefined && newest.revision > ownRevision ? newest : undefined;
    }

    /** Records that this daemon has read up to a revision; the store itself has none that is newer. */
    recordOwn(ownRevision: number, isFromStore: boolean): void {
        if (isFromStore) {
            this.revision = Math.min(this.revision, ownRevision);
        }
        if (this.revision <= ownRevision) {
            this.behindSinceMs = Infinity;
        }
    }

    /** Time since which another daemon has a newer revision; infinite when none has. */
    getBehindSinceMs(): number {
        return this.behindSinceMs;
    }
}
