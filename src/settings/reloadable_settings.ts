import type { Result } from "neverthrow";
import type { Failure } from "../core/failure.ts";

/** Settings that can change while the daemon runs. */
export interface ReloadableSettings {
    readonly read: () => Promise<string>;
    /** Activates new settings; after a failure the previous ones stay active. */
    readonly apply: (text: string) => Result<void, Failure>;
}
