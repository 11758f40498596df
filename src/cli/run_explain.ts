/**
 * The command `explain`: shows what happened to one request, from the logs of several daemons.
 *
 * @example
 * ```ts
 * process.exitCode = runExplain({ id: "9c41", files: ["a.log", "-"], format: "text" }, files, output);
 * ```
 *
 * @module
 */
import { Code } from "../core/code.ts";
import { buildExplanation } from "../explain/build_explanation.ts";
import { findLines } from "../explain/find_lines.ts";
import { formatExplanation } from "../explain/format_explanation.ts";
import type { LogSource } from "../explain/log_source.ts";
import { ExitCode } from "./exit_code.ts";
import type { Output } from "./output.ts";
import type { TextReader } from "./text_reader.ts";

interface ExplainOptions {
    /** Identifier of the request. */
    readonly id: string;
    /** Log files; `-` is standard input. */
    readonly files: readonly string[];
    /** `text` or `json`. */
    readonly format: string;
}

/** Prints the explanation; lines that are not log lines are reported and skipped. */
export function runExplain(
    { files: names, format, id }: ExplainOptions,
    files: TextReader,
    output: Output,
): ExitCode {
    if (format !== "text" && format !== "json") {
        output.writeError(`error ${Code.BadSetting}: --format is text or json, not ${format}\n`);
        return ExitCode.BadUsage;
    }
    const sources: LogSource[] = [];
    for (const name of names) {
        const text = files.read(name);
        if (text.isErr()) {
            output.writeError(`${name}: error ${Code.FileUnreadable}: ${text.error.detail}\n`);
            return ExitCode.BadUsage;
        }
        sources.push({ name, text: text.value });
    }
    const { lines, problems } = findLines(id, sources);
    problems.forEach(problem => output.writeError(`${problem}\n`));
    if (lines.length === 0) {
        output.writeError(`no line names request ${id}\n`);
        return ExitCode.Failed;
    }
    const explanation = buildExplanation(id, lines);
    output.write(
        format === "json" ? `${JSON.stringify(explanation, undefined, 2)}\n` : formatExplanation(explanation),
    );
    return ExitCode.Ok;
}
