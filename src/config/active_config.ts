import type { Configuration } from "./configuration.ts";

/** A configuration in force. */
export interface ActiveConfig {
    /** Version given by the platform; orders configurations. */
    readonly version: number;
    /** SHA-256 of the source text, in hexadecimal. */
    readonly digest: string;
    readonly configuration: Configuration;
    readonly source: string;
}
