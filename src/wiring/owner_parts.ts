import type { buildOwner } from "./build_owner.ts";

/** The owner's side of a daemon. */
export type OwnerParts = ReturnType<typeof buildOwner>;
