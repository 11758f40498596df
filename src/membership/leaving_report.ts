/** A report, from a source other than the instance list, that an upstream or a daemon is leaving. */
export interface LeavingReport {
    readonly cause: string;
    /** Incarnation of the owner that is leaving; undefined when it was not known. */
    readonly incarnation: string | undefined;
    /** Monotonic milliseconds at which the report expires unless it is repeated. */
    readonly expiresAtMs: number;
}
