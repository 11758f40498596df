import type { Code } from "../../core/code.ts";

/** A fault that a rule found, before its place in the text is known. */
export interface Finding {
    readonly code: Code;
    /** Keys and list indexes from the root to the value. */
    readonly path: readonly (string | number)[];
    /** True when the place is the key and not the value. */
    readonly atKey?: boolean;
    readonly message: string;
}
