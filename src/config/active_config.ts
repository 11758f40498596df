import type { Configuration } from "./configuration.ts";

/** The active configuration with its version, digest and source text. */
export interface ActiveConfig {
    /** Version assigned by the platform; a higher version is newer. */
    readonly version: number;
    /** SHA-256 of the source text, in hexadecimal. */
    readonly digest: string;
    readonly configuration: Configuration;
    readonly source: string;
}
