import type { ActiveConfig } from "./active_config.ts";

/** Provides the active configuration. */
export interface ActiveConfigReader {
    /** Undefined until a first configuration has been accepted. */
    getActive(): ActiveConfig | undefined;
}
