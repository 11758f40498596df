import type { buildBase } from "./build_base.ts";

/** What every other part of a daemon needs. */
export type BaseParts = ReturnType<typeof buildBase>;
