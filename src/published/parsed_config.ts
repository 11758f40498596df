import type { ActiveConfig } from "../config/active_config.ts";

/** A valid configuration on its way to the store. */
export interface ParsedConfig extends ActiveConfig {
    readonly cause: string;
}
