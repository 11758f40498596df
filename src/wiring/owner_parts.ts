import type { buildOwner } from "./build_owner.ts";

/** Components of the owner side of a daemon. */
export type OwnerParts = ReturnType<typeof buildOwner>;
