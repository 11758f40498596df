import type { ActiveConfig } from "./active_config.ts";

/** Gives the configuration in force. */
export interface ActiveConfigReader {
    /** Undefined until a first configuration has been accepted. */
    getActive(): ActiveConfig | undefined;
}
