/** A report that an upstream is leaving which did not come from the instance list. */
export interface LeavingReport {
    readonly cause: string;
    /** Incarnation of the owner that is leaving; undefined when the source did not know it. */
    readonly incarnation: string | undefined;
    /** Monotonic milliseconds at which the mark ends unless it is repeated. */
    readonly expiresAtMs: number;
}
