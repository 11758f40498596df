import type { Result } from "neverthrow";
import type { ActiveConfig } from "../config/active_config.ts";
import type { Failure } from "../core/failure.ts";
import type { Filter } from "../core/filter.ts";
import type { ConfigStore } from "./config_store.ts";
import type { ParsedConfig } from "./parsed_config.ts";

/** Puts a valid configuration in force when it is newer than the active one. */
export class ActivateConfigFilter implements Filter<ParsedConfig, ActiveConfig> {
    constructor(private readonly store: ConfigStore) {}

    apply(input: ParsedConfig): Result<ActiveConfig, Failure> {
        const { version, digest, source, configuration } = input;
        return this.store.update({ version, digest, source, configuration }, input.cause);
    }
}
