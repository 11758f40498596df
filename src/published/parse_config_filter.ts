import { ok, type Result } from "neverthrow";
import type { Failure } from "../core/failure.ts";
import type { Filter } from "../core/filter.ts";
import type { ConfigSource } from "./config_source.ts";
import type { ConfigStore } from "./config_store.ts";
import type { ConfigurationParser } from "./configuration_parser.ts";
import type { ParsedConfig } from "./parsed_config.ts";

/** Parses and validates a configuration; an invalid one is reported and goes no further. */
export class ParseConfigFilter implements Filter<ConfigSource, ParsedConfig> {
    constructor(private readonly store: ConfigStore, private readonly parser: ConfigurationParser) {}

    apply(input: ConfigSource): Result<ParsedConfig, Failure> {
        const active = this.store.getActive();
        // The version in force is read again by every check of the platform; parsing it once is enough.
        if (active?.version === input.version) {
            return ok({ ...active, cause: input.cause });
        }
        const { version, digest, source, cause } = input;
        return this.parser.parse(source)
            .map(configuration => ({ version, digest, source, cause, configuration }))
            .mapErr(failure => {
                this.store.reportRejected(version, digest, failure, cause);
                return failure;
            });
    }
}
