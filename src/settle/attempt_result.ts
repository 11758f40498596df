import type { Code } from "../core/code.ts";
import type { Outcome } from "../core/outcome.ts";

/** Code and outcome of one exchange with an upstream. */
export interface AttemptResult {
    readonly code: Code;
    readonly outcome: Outcome;
    readonly detail: string;
    /** True when the upstream declared by its status that it did not run the request. */
    readonly shed: boolean;
}
