import type { Configuration } from "../configuration.ts";
import type { ConfigSection } from "./config_section.ts";

/** A checked configuration and the sections it consists of. */
export interface ParsedConfig {
    readonly configuration: Configuration;
    readonly sections: readonly ConfigSection[];
}
