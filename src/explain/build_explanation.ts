/**
 * Merges the log lines of several daemons about one request and names what decided its outcome.
 *
 * @example
 * ```ts
 * const { lines } = findLines("9c41d07be2a35f68", sources);
 * const explanation = buildExplanation("9c41d07be2a35f68", lines);
 * ```
 *
 * @module
 */
import { listCodes } from "../core/list_codes.ts";
import type { Explanation } from "./explanation.ts";
import type { LogLine } from "./log_line.ts";

/** The cause is taken from the entry daemon's last line or, when there is none, from the owner's. */
export function buildExplanation(requestId: string, lines: readonly LogLine[]): Explanation {
    return { requestId, lines, cause: decideCause(lines) };
}

function decideCause(lines: readonly LogLine[]): string {
    const endLine = lines.findLast(({ event }) => event === "request_failed" || event === "request_answered");
    const attempts = lines.filter(({ event }) => event === "attempt");
    const ownerLine = lines.findLast(({ event }) => event === "owner_attempt");
    if (endLine === undefined) {
        return ownerLine === undefined
            ? "no line says how the request ended"
            : `no line of the entry daemon says how the request ended; the owner ${ownerLine.daemon} `
                + `ended its attempt with ${formatCode(ownerLine)}`;
    }
    const attemptCount = attempts.length === 1 ? "1 attempt" : `${attempts.length} attempts`;
    const duration = `${attemptCount} in ${formatField(endLine, "durationMs")} ms`;
    if (endLine.event === "request_answered") {
        return `answered with status ${formatField(endLine, "status")} after ${duration}`;
    }
    const decidingAttempt = attempts.findLast(({ fields }) => fields["code"] === endLine.fields["code"]);
    const decision = decidingAttempt === undefined
        ? "before any attempt ended"
        : formatDecidingAttempt(decidingAttempt);
    return `${formatCode(endLine)} after ${duration}, ${decision}; the caller was told ${
        formatField(endLine, "outcome")
    }`;
}

function formatCode(line: LogLine): string {
    const entry = listCodes().find(({ code }) => code === line.fields["code"]);
    return `code ${formatField(line, "code")} (${entry?.summary ?? "unknown"})`;
}

function formatDecidingAttempt(line: LogLine): string {
    return `decided by attempt ${formatField(line, "attempt")} at upstream ${
        formatField(line, "upstream")
    } of `
        + `${formatField(line, "owner")}, which had fault probability `
        + `${formatField(line, "faultProbability")} (age ${formatField(line, "ageMs")} ms): `
        + formatField(line, "detail");
}

function formatField({ fields }: LogLine, name: string): string {
    const value = fields[name];
    return typeof value === "string" || typeof value === "number" || typeof value === "boolean"
        ? `${value}`
        : "unknown";
}
