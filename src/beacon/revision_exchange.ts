import type { StoreRevision } from "../published/store_revision.ts";
import type { PeerRevision } from "./peer_revision.ts";

/** Exchange of the revisions of the platform's store between daemons. */
export interface RevisionExchange {
    /** Revision up to which this daemon has read; 0 when it has read nothing. */
    getRevision(): StoreRevision;
    /** True while this daemon reads changes after its revision that are too large to be passed on. */
    hasLargeChange(): boolean;
    /** Milliseconds since a daemon of the failure domain has reached the store; undefined when none has. */
    getStoreAgeMs(): number | undefined;
    recordPeer(peer: PeerRevision): void;
}
