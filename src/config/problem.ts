import type { Code } from "../core/code.ts";

/** One problem of a configuration and its position in the text. */
export interface Problem {
    readonly code: Code;
    /** Name of the file or published value. */
    readonly source: string;
    /** Counts from 1. */
    readonly line: number;
    /** Counts from 1, in UTF-16 units. */
    readonly column: number;
    /** Dotted path of the field, for example `services.payments.floor`; empty for the whole text. */
    readonly field: string;
    readonly message: string;
}
