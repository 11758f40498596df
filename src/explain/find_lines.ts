import { Result } from "neverthrow";
import { z } from "zod";
import type { LogLine } from "./log_line.ts";
import type { LogSearchResult } from "./log_search_result.ts";
import type { LogSource } from "./log_source.ts";

const lineSchema = z.looseObject({
    time: z.string(),
    event: z.string().optional(),
    daemon: z.string(),
    requestId: z.string().optional(),
});

const parseJson = Result.fromThrowable((text: string) => JSON.parse(text) as unknown);

/**
 * Finds the lines about a request, in order of time. Text that a log collector puts in front of the JSON
 * object is skipped. Lines of the audit trail have no event and belong to no request.
 */
export function findLines(requestId: string, sources: readonly LogSource[]): LogSearchResult {
    const lines: LogLine[] = [];
    const problems: string[] = [];
    for (const { name, text } of sources) {
        for (const [index, line] of text.split("\n").entries()) {
            if (line.trim() === "") {
                continue;
            }
            const parsed = lineSchema.safeParse(parseJson(line.slice(line.indexOf("{"))).unwrapOr(undefined));
            if (!parsed.success) {
                problems.push(`${name}:${index + 1}: not a line of the log`);
                continue;
            }
            const { daemon, event, time, ...fields } = parsed.data;
            if (event !== undefined && fields.requestId === requestId) {
                lines.push({ time, event, daemon, fields });
            }
        }
    }
    lines.sort((left, right) => left.time.localeCompare(right.time));
    return { lines, problems };
}
