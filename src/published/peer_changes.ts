import type { StoreRevision } from "./store_revision.ts";

/** Changes of the platform's store that another daemon forwards. */
export interface PeerChanges {
    /** Revision up to which the changes are complete. */
    readonly revision: StoreRevision;
    /** Changed items in the platform's encoding. */
    readonly items: readonly string[];
    /** True when the items are all values of the store and not only the changes. */
    readonly complete: boolean;
    /** True when the other daemon has the changes and they are too large to be passed on; there are no items then. */
    readonly tooLarge?: boolean;
    /**
     * Milliseconds for which upstreams may still write again the entries that expired in an outage of the store;
     * 0 when there was none lately.
     */
    readonly recoveryMs: number;
}
