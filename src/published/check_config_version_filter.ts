import type { Result } from "neverthrow";
import type { Failure } from "../core/failure.ts";
import type { Filter } from "../core/filter.ts";
import type { ConfigSource } from "./config_source.ts";
import type { ConfigStore } from "./config_store.ts";

/** Rejects configurations that are older than the active one or conflict with it, before they are parsed. */
export class CheckConfigVersionFilter implements Filter<ConfigSource, ConfigSource> {
    constructor(private readonly store: ConfigStore) {}

    apply(input: ConfigSource): Result<ConfigSource, Failure> {
        return this.store.checkVersion(input.version, input.digest)
            .map(() => input)
            .mapErr(failure => {
                this.store.reportRejected(input.version, input.digest, failure, input.cause);
                return failure;
            });
    }
}
