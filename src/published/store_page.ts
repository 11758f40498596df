import type { StoreChange } from "./store_change.ts";

/** Values of the store, or changes of them, up to one revision. */
export interface StorePage {
    /** Revision of the store to continue from. */
    readonly revision: number;
    readonly changes: readonly StoreChange[];
    /** The items in the platform's encoding, to forward to other daemons. */
    readonly items: readonly string[];
}
