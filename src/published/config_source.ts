/** Source text of a configuration with the version that the platform assigned. */
export interface ConfigSource {
    readonly version: number;
    /** SHA-256 of the source text, in hexadecimal. */
    readonly digest: string;
    readonly source: string;
    /** Origin for the audit trail: `platform`, or `peer` with its identifier. */
    readonly cause: string;
}
