import type { StoreRevision } from "./store_revision.ts";

/** Revision of a daemon that has read nothing. */
export const noRevision: StoreRevision = { era: 0, revision: 0 };
