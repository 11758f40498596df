/**
 * The command `explain --summary`: sums up the unserved requests in the logs of several daemons by cause.
 *
 * @example
 * ```ts
 * process.exitCode = await runSummary({ files: ["a.log", "-"], format: "text" }, lines, output);
 * ```
 *
 * @module
 */
import { Code } from "../core/code.ts";
import { formatSummary } from "../explain/format_summary.ts";
import { LogSummarizer } from "../explain/log_summarizer.ts";
import { ExitCode } from "./exit_code.ts";
import type { LineReader } from "./line_reader.ts";
import type { Output } from "./output.ts";

interface SummaryOptions {
    /** Log files; `-` is standard input. */
    readonly files: readonly string[];
    /** `text` or `json`. */
    readonly format: string;
    /** Only lines from this time on and before that time, in ISO 8601. */
    readonly since?: string | undefined;
    readonly until?: string | undefined;
    /** Only requests for this service. */
    readonly service?: string | undefined;
}

/** Prints the summary; lines that are not log lines are counted and passed over. */
export async function runSummary(
    { files, format, ...filter }: SummaryOptions,
    reader: LineReader,
    output: Output,
): Promise<ExitCode> {
    if (format !== "text" && format !== "json") {
        output.writeError(`error ${Code.BadSetting}: --format is text or json, not ${format}\n`);
        return ExitCode.BadUsage;
    }
    const summarizer = new LogSummarizer(filter);
    for (const file of files) {
        try {
            for await (const line of reader.readLines(file)) {
                summarizer.add(line);
            }
        }
        catch (error) {
            const detail = error instanceof Error ? error.message : String(error);
            output.writeError(`${file}: error ${Code.FileUnreadable}: ${detail}\n`);
            return ExitCode.BadUsage;
        }
    }
    const unreadable = summarizer.countUnreadable();
    if (unreadable > 0) {
        output.writeError(`${unreadable} lines are no lines of the log\n`);
    }
    const services = summarizer.build();
    output.write(format === "json" ? `${JSON.stringify(services, undefined, 2)}\n` : formatSummary(services));
    return ExitCode.Ok;
}
