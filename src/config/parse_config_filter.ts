import type { Result } from "neverthrow";
import type { Failure } from "../core/failure.ts";
import type { Filter } from "../core/filter.ts";
import type { ConfigText } from "./config_text.ts";
import { createProblemFailure } from "./create_problem_failure.ts";
import type { ConfigParser } from "./sections/config_parser.ts";
import type { ParsedConfig } from "./sections/parsed_config.ts";

/** Parses and checks each version of the configuration. */
export class ParseConfigFilter implements Filter<ConfigText, ParsedConfig> {
    constructor(private readonly parser: ConfigParser) {}

    apply({ name, source, parts }: ConfigText): Result<ParsedConfig, Failure> {
        return this.parser.parse(source, { name, parts }).mapErr(createProblemFailure);
    }
}
