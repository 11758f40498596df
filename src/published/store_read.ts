import type { StoreRevision } from "./store_revision.ts";

/** A read of the platform's store. */
export interface StoreRead {
    /** Revision after which changes are read; undefined for all values. */
    readonly afterRevision: StoreRevision | undefined;
    /** Milliseconds for which the store may wait for a change. */
    readonly waitMs: number;
    /** True for a read of a daemon that does not watch the store, whose result others may wait for. */
    readonly isFallback: boolean;
}
