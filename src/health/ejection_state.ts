/** Ejection state of one upstream at one entry daemon. Times are monotonic milliseconds. */
export interface EjectionState {
    ejected: boolean;
    /** Time of the last ejection or return; scores from before it are ignored. */
    changedAtMs: number;
    /** Time of the last return, from which slow start runs; undefined before the first. */
    returnedAtMs: number | undefined;
    /** Excess over the reference score at the ejection, in nats. */
    excess: number;
    /** Length of the current or last hold (ejection time) in milliseconds; 0 before the first. */
    holdMs: number;
    holdUntilMs: number;
    trialRunning: boolean;
    ejections: number;
    trials: number;
}
