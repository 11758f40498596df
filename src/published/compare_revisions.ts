import type { StoreRevision } from "./store_revision.ts";

/** Negative when `left` is older than `right`, positive when it is newer, and 0 when they are the same. */
export function compareRevisions(left: StoreRevision, right: StoreRevision): number {
    return left.era - right.era || left.revision - right.revision;
}
