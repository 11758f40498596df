/** What one sender remembers about the ejection of one upstream. Times are monotonic milliseconds. */
export interface EjectionState {
    ejected: boolean;
    /** Time of the last ejection or return; older scores do not count. */
    changedAtMs: number;
    /** Time of the last return, or undefined. Slow start counts from here. */
    returnedAtMs: number | undefined;
    /** Excess at the ejection, in nats. */
    excess: number;
    /** Length of the present or last hold in milliseconds; 0 before the first. */
    holdMs: number;
    holdUntilMs: number;
    trialRunning: boolean;
    ejections: number;
    trials: number;
}
