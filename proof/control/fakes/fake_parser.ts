import { err, ok, type Result } from "neverthrow";
import type { Configuration } from "../../../src/config/configuration.ts";
import { Code } from "../../../src/core/code.ts";
import { createFailure } from "../../../src/core/create_failure.ts";
import type { Failure } from "../../../src/core/failure.ts";
import type { ConfigurationParser } from "../../../src/published/configuration_parser.ts";

/** Accepts every source without the word `invalid`; the source becomes the team of the configuration. */
export class FakeParser implements ConfigurationParser {
    parse(source: string): Result<Configuration, Failure> {
        return source.includes("invalid")
            ? err(createFailure(Code.ConfigBadValue))
            : ok({ team: source, services: new Map() });
    }
}
