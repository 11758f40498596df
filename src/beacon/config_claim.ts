/** Statement of a daemon that no later version of the configuration existed some time ago. */
export interface ConfigClaim {
    readonly version: number;
    /** Milliseconds between that moment and the sending of the statement. */
    readonly ageMs: number;
}
