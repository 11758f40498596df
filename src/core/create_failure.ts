import type { Code } from "./code.ts";
import { codeTable } from "./code_table.ts";
import type { Failure } from "./failure.ts";

/** Builds a failure; outcome and detail default to those of the code table. */
export function createFailure(code: Code, options: Partial<Omit<Failure, "code">> = {}): Failure {
    const entry = codeTable[code];
    return {
        ...options,
        code,
        outcome: options.outcome ?? entry.outcome,
        detail: options.detail ?? entry.summary,
    };
}
