import { ok, type Result } from "neverthrow";
import type { Failure } from "../../../src/core/failure.ts";
import { ConfigStore } from "../../../src/published/config_store.ts";

/** Mutation: accepts any version, including older ones. */
export class LenientConfigStore extends ConfigStore {
    override checkVersion(): Result<void, Failure> {
        return ok(undefined);
    }
}
