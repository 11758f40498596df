import type { Result } from "neverthrow";
import type { Failure } from "../core/failure.ts";
import type { PeerChanges } from "./peer_changes.ts";
import type { StoreRevision } from "./store_revision.ts";

/** The other daemons of the failure domain, with which a daemon shares what it reads of the store. */
export interface StorePeers {
    /** 0 when this daemon watches the store for its failure domain, 1 when it is the standby of that daemon. */
    getRank(): number;
    /** Tells the other daemons at once that this one has read new changes. */
    sendRevision(): void;
    /** Tells the daemon with the next rank that the store has just been reached. */
    sendContact(): void;
    /**
     * Fetches the changes after a revision from another daemon. Fails with PlatformHistoryGone when it does
     * not hold all of them, and with PeerUnreachable.
     */
    fetchChanges(address: string, afterRevision: StoreRevision): Promise<Result<PeerChanges, Failure>>;
}
