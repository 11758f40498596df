import type { Failure } from "../core/failure.ts";

/** Formats a failure as one line for standard error. */
export function formatFailure(failure: Failure): string {
    return `error ${failure.code}: ${failure.detail}\n`;
}
