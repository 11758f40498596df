/** Result of a drain. */
export interface DrainReport {
    /** Queued requests that were returned as `not-executed`. */
    readonly released: number;
    /** Requests that were in flight at the start of the drain. */
    readonly inFlight: number;
    /** Milliseconds from the start of the drain to the close. */
    readonly durationMs: number;
}
