import { ok, type Result } from "neverthrow";
import type { Failure } from "../core/failure.ts";
import type { Filter } from "../core/filter.ts";
import type { ConfigSource } from "./config_source.ts";
import type { ConfigStore } from "./config_store.ts";
import type { ConfigurationParser } from "./configuration_parser.ts";
import type { ParsedConfig } from "./parsed_config.ts";

/** Parses and validates a configuration; an invalid one is reported and rejected. */
export class ParseConfigFilter implements Filter<ConfigSource, ParsedConfig> {
    constructor(private readonly store: ConfigStore, private readonly parser: ConfigurationParser) {}

    apply(input: ConfigSource): Result<ParsedConfig, Failure> {
        const active = this.store.getActive();
        // Every poll of the platform reads the version in force again; it has already been parsed.
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
