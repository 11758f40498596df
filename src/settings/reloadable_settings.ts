import type { Result } from "neverthrow";
import type { Failure } from "../core/failure.ts";

/** A settings file that may change. */
export interface ReloadableSettings {
    readonly read: () => Promise<string>;
    /** Puts new settings in force; with a failure the former ones stay. */
    readonly apply: (text: string) => Result<void, Failure>;
}
