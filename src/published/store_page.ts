import type { StoreChange } from "./store_change.ts";
import type { StoreRevision } from "./store_revision.ts";

/** Values of the store, or changes of them, up to one revision. */
export interface StorePage {
    /** Revision of the store to continue from. */
    readonly revision: StoreRevision;
    readonly changes: readonly StoreChange[];
    /** The items in the platform's encoding, to forward to other daemons. */
    readonly items: readonly string[];
}
