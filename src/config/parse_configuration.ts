/**
 * Parses and validates the operators' configuration.
 *
 * @example
 * ```ts
 * const result = parseConfiguration(await readFile("configuration.yaml", "utf8"));
 * if (result.isErr()) {
 *     for (const problem of result.error) {
 *         console.error(`${problem.line}:${problem.column} ${problem.field}: ${problem.message}`);
 *     }
 * }
 * ```
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import { buildService } from "./build_service.ts";
import type { Configuration } from "./configuration.ts";
import type { Problem } from "./problem.ts";
import { ProblemList } from "./problem_list.ts";
import { checkRules } from "./rules/check_rules.ts";
import { configType } from "./table/config_type.ts";
import { readYaml } from "./yaml/read_yaml.ts";

interface ParseOptions {
    /** Name of the file or published value, for messages. */
    readonly name?: string;
}

/** Parses and checks a configuration; the error lists every problem in the order of the text. */
export function parseConfiguration(
    source: string,
    options: ParseOptions = {},
): Result<Configuration, readonly Problem[]> {
    const problems = new ProblemList(options.name ?? "config", source);
    const root = readYaml(source, problems);
    const fields = root && configType.parse(root, "", problems);
    if (fields === undefined) {
        return err(problems.list());
    }
    const services = [...fields.services].map(([service, values]) =>
        [service, buildService(service, values)] as const
    );
    const configuration: Configuration = { team: fields.team, services: new Map(services) };
    // Rules applied to incomplete services would report problems that do not exist.
    if (problems.isEmpty()) {
        checkRules(configuration, { root, problems });
    }
    return problems.isEmpty() ? ok(configuration) : err(problems.list());
}
