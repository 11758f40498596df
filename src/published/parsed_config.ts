import type { ActiveConfig } from "../config/active_config.ts";

/** Valid configuration that has not been put in force yet. */
export interface ParsedConfig extends ActiveConfig {
    readonly cause: string;
}
