/** Requests at one upstream, as one entry daemon knows them. */
export interface LoadReport {
    readonly slots: number;
    /** Requests of this daemon that have no reply yet. */
    readonly inFlight: number;
    /** Running and queued requests of other daemons in the last report. */
    readonly others: number;
    /** Time of the last report in monotonic milliseconds; minus infinity when there is none. */
    readonly reportedAtMs: number;
}
