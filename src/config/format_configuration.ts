import { stringify } from "yaml";
import type { Configuration } from "./configuration.ts";
import { encodeConfiguration } from "./encode_configuration.ts";

/** The whole configuration as YAML that `parseConfiguration` reads back to the same configuration. */
export function formatConfiguration(configuration: Configuration): string {
    return stringify(encodeConfiguration(configuration), { lineWidth: 0, aliasDuplicateObjects: false });
}
