import { err, type Result } from "neverthrow";
import { Code } from "../../../src/core/code.ts";
import { createFailure } from "../../../src/core/create_failure.ts";
import type { Failure } from "../../../src/core/failure.ts";
import type { PeerChanges } from "../../../src/published/peer_changes.ts";
import type { StorePeers } from "../../../src/published/store_peers.ts";
import type { StoreRevision } from "../../../src/published/store_revision.ts";

/** The other daemons; they hold no changes until `changes` is set. */
export class FakeStorePeers implements StorePeers {
    readonly fetches: string[] = [];
    rank = 0;
    announcements = 0;
    contacts = 0;
    changes: Result<PeerChanges, Failure> = err(createFailure(Code.PlatformHistoryGone));

    getRank(): number {
        return this.rank;
    }

    sendRevision(): void {
        this.announcements += 1;
    }

    sendContact(): void {
        this.contacts += 1;
    }

    fetchChanges(address: string, after: StoreRevision): Promise<Result<PeerChanges, Failure>> {
        this.fetches.push(`${address} ${after.revision}`);
        return Promise.resolve(this.changes);
    }
}
