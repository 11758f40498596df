import type { Result } from "neverthrow";
import type { Configuration } from "../config/configuration.ts";
import type { Failure } from "../core/failure.ts";

/** Parses and validates the source text of a configuration. */
export interface ConfigurationParser {
    parse(source: string): Result<Configuration, Failure>;
}
