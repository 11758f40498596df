import type { StoreRevision } from "../published/store_revision.ts";

/** What another daemon of the failure domain has read of the platform's store. */
export interface PeerRevision {
    /** IP address and port of its interface for other daemons. */
    readonly address: string;
    /** Revision up to which it has read. */
    readonly revision: StoreRevision;
    /** True while it reads changes after that revision that are too large to be passed on. */
    readonly hasLargeChange?: boolean | undefined;
    /**
     * Milliseconds since a daemon of the failure domain has reached the store, as far as the other daemon
     * knows; undefined when it knows of none.
     */
    readonly storeAgeMs: number | undefined;
}
