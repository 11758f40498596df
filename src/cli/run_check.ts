/**
 * The command `check`: reports every problem of a configuration file with its line and column.
 *
 * @example
 * ```ts
 * process.exitCode = runCheck({ file: "configuration.yaml", explain: false }, new FileTextReader(), output);
 * ```
 *
 * @module
 */
import type { Configuration } from "../config/configuration.ts";
import { formatConfiguration } from "../config/format_configuration.ts";
import { formatProblem } from "../config/format_problem.ts";
import { parseConfiguration } from "../config/parse_configuration.ts";
import { Code } from "../core/code.ts";
import { ExitCode } from "./exit_code.ts";
import type { Output } from "./output.ts";
import type { TextReader } from "./text_reader.ts";

interface CheckOptions {
    readonly file: string;
    /** Prints the configuration, including default values. */
    readonly explain: boolean;
}

/** Prints one line for each problem, or for a valid configuration the summary or all its values. */
export function runCheck(options: CheckOptions, files: TextReader, output: Output): ExitCode {
    const { file, explain } = options;
    const source = files.read(file);
    if (source.isErr()) {
        output.writeError(`${file}: error ${Code.FileUnreadable}: ${source.error.detail}\n`);
        return ExitCode.BadUsage;
    }
    const result = parseConfiguration(source.value, { name: file });
    if (result.isErr()) {
        const lines = result.error.map(problem => `${formatProblem(problem)}\n`);
        output.writeError(lines.join(""));
        return ExitCode.Failed;
    }
    output.write(explain ? formatConfiguration(result.value) : formatSummary(file, result.value));
    return ExitCode.Ok;
}

function formatSummary(file: string, configuration: Configuration): string {
    const services = [...configuration.services.values()];
    const routes = services.reduce((sum, service) => sum + service.routes.length, 0);
    return `${file}: no problem found; services ${services.length}, routes ${routes}\n`;
}
