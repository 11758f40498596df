/** Limits that the platform sets for the attempts after the first in the whole fleet. */
export interface RetryBounds {
    /** Attempts after the first in percent of the requests. */
    readonly percent: number;
    /** Additional attempts of the fleet in each window. */
    readonly slack: number;
    readonly windowMs: number;
}
