import type { StorePage } from "./store_page.ts";

/** A page of the store and the moment for which it holds. */
export interface StoreAnswer {
    readonly page: StorePage;
    /** Monotonic milliseconds up to which the page holds all changes. */
    readonly heldMs: number;
}
