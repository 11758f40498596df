import type { Result } from "neverthrow";
import type { Failure } from "../core/failure.ts";
import type { ConfigurationParser } from "../published/configuration_parser.ts";
import { ConfigParser } from "./config_parser.ts";
import type { Configuration } from "./configuration.ts";
import { createProblemFailure } from "./create_problem_failure.ts";

/** Parses configurations for the control pipeline; the failure names the first problem and how many there are. */
export class ConfigurationTextParser implements ConfigurationParser {
    private readonly parser = new ConfigParser();

    parse(source: string): Result<Configuration, Failure> {
        return this.parser.parse(source).mapErr(createProblemFailure);
    }
}
