import type { PeerChanges } from "./peer_changes.ts";
import type { StoreRevision } from "./store_revision.ts";

/** Provides the changes of the platform's store that this daemon has read. */
export interface StoreChangesSource {
    /** Undefined when some of the changes after the revision are unknown. */
    findChanges(afterRevision: StoreRevision): PeerChanges | undefined;
}
