import type { Code } from "./code.ts";
import type { Outcome } from "./outcome.ts";

/** Error that a filter returns. */
export interface Failure {
    readonly code: Code;
    readonly outcome: Outcome;
    /** One sentence for logs and for the problem document. */
    readonly detail: string;
    /** Milliseconds after which the caller may repeat the request; absent when nothing is known. */
    readonly retryAfterMs?: number | undefined;
}
