import type { Failure } from "../core/failure.ts";

/** One line for standard error. */
export function formatFailure(failure: Failure): string {
    return `error ${failure.code}: ${failure.detail}\n`;
}
