/**
 * Joins the lines that several daemons wrote about one request and names what decided its end.
 *
 * @example
 * ```ts
 * const { lines } = findLines("9c41d07be2a35f68", sources);
 * const story = buildStory("9c41d07be2a35f68", lines);
 * ```
 *
 * @module
 */
import { listCodes } from "../core/list_codes.ts";
import type { LogLine } from "./log_line.ts";
import type { Story } from "./story.ts";

/** The cause is that of the entry daemon's last line; without one, that of the owner's. */
export function buildStory(requestId: string, lines: readonly LogLine[]): Story {
    return { requestId, lines, cause: decideCause(lines) };
}

function decideCause(lines: readonly LogLine[]): string {
    const end = lines.findLast(({ event }) => event === "request_failed" || event === "request_answered");
    const attempts = lines.filter(({ event }) => event === "attempt");
    const settled = lines.findLast(({ event }) => event === "owner_attempt");
    if (end === undefined) {
        return settled === undefined
            ? "no line says how the request ended"
            : `the entry daemon wrote no end; the owner ${settled.daemon} ended its attempt with ${
                formatCode(settled)
            }`;
    }
    const tries = attempts.length === 1 ? "1 attempt" : `${attempts.length} attempts`;
    const duration = `${tries} in ${formatField(end, "durationMs")} ms`;
    if (end.event === "request_answered") {
        return `answered with status ${formatField(end, "status")} after ${duration}`;
    }
    const decisive = attempts.findLast(({ fields }) => fields["code"] === end.fields["code"]);
    const place = decisive === undefined ? "before any attempt ended" : formatPlace(decisive);
    return `${formatCode(end)} after ${duration}, ${place}; the caller was told ${
        formatField(end, "outcome")
    }`;
}

function formatCode(line: LogLine): string {
    const entry = listCodes().find(({ code }) => code === line.fields["code"]);
    return `code ${formatField(line, "code")} (${entry?.summary ?? "unknown"})`;
}

function formatPlace(line: LogLine): string {
    return `decided by attempt ${formatField(line, "attempt")} at upstream ${
        formatField(line, "upstream")
    } of `
        + `${formatField(line, "owner")}, which was believed to fail with probability `
        + `${formatField(line, "faultProbability")} (age ${formatField(line, "ageMs")} ms): `
        + formatField(line, "detail");
}

function formatField({ fields }: LogLine, name: string): string {
    const value = fields[name];
    return typeof value === "string" || typeof value === "number" || typeof value === "boolean"
        ? `${value}`
        : "unknown";
}
