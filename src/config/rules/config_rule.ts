import type { Configuration } from "../configuration.ts";
import type { Finding } from "./finding.ts";

/** A rule over several fields, each of which is valid on its own. */
export interface ConfigRule {
    check(configuration: Configuration): readonly Finding[];
}
