import type { buildBase } from "./build_base.ts";

/** Components that all other parts of a daemon use. */
export type BaseParts = ReturnType<typeof buildBase>;
