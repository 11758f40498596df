import type { StorePage } from "./store_page.ts";

/** A page of the store and the moment for which it holds. */
export interface StoreAnswer {
    readonly page: StorePage;
    /** Monotonic milliseconds up to which the page holds all changes. */
    readonly heldMs: number;
    /** Milliseconds from the first byte of the answer to the last one. */
    readonly transferMs: number;
}
