import type { Code } from "../../core/code.ts";

/** A problem that a rule found, before its position in the text is known. */
export interface Finding {
    readonly code: Code;
    /** Keys and list indexes from the root to the value. */
    readonly path: readonly (string | number)[];
    /** True when the problem is reported at the key instead of the value. */
    readonly atKey?: boolean;
    readonly message: string;
}
