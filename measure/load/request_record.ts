import type { Code } from "../../src/core/code.ts";
import type { Outcome } from "../../src/core/outcome.ts";

/** One request of a caller. */
export interface RequestRecord {
    readonly stream: string;
    readonly operation: number;
    readonly sentAtMs: number;
    readonly endedAtMs: number;
    /** True when the answer arrived before the deadline. */
    readonly answered: boolean;
    readonly code: Code;
    readonly outcome: Outcome;
    /** True when the reply said not-executed although an upstream had executed the request. */
    readonly falselyNotExecuted: boolean;
}
