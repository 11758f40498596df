import type { Result } from "neverthrow";
import type { Failure } from "../core/failure.ts";
import type { ConfigurationParser } from "../published/configuration_parser.ts";
import type { Configuration } from "./configuration.ts";
import { createProblemFailure } from "./create_problem_failure.ts";
import { parseConfiguration } from "./parse_configuration.ts";

/** Parses configurations for the control pipeline; the failure describes the first problem. */
export class ConfigurationTextParser implements ConfigurationParser {
    parse(source: string): Result<Configuration, Failure> {
        return parseConfiguration(source).mapErr(createProblemFailure);
    }
}
