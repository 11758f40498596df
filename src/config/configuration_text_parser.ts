import { err, ok, type Result } from "neverthrow";
import { Code } from "../core/code.ts";
import { createFailure } from "../core/create_failure.ts";
import type { Failure } from "../core/failure.ts";
import type { ConfigurationParser } from "../platform/configuration_parser.ts";
import type { Configuration } from "./configuration.ts";
import { parseConfiguration } from "./parse_configuration.ts";

/** Parses the YAML text of a configuration; the failure names the first problem and how many there are. */
export class ConfigurationTextParser implements ConfigurationParser {
    parse(source: string): Result<Configuration, Failure> {
        const result = parseConfiguration(source);
        if (result.isOk()) {
            return ok(result.value);
        }
        const [first] = result.error;
        if (first === undefined) {
            return err(createFailure(Code.ConfigSyntax));
        }
        const place = `line ${first.line}, column ${first.column}`;
        const detail = `${place}: ${first.field}: ${first.message} (${result.error.length} problems)`;
        return err(createFailure(first.code, { detail }));
    }
}
