/** What a platform allows the whole fleet in attempts after the first. */
export interface RetryBounds {
    /** Attempts after the first in percent of the requests. */
    readonly percent: number;
    /** Further attempts of the fleet in each window. */
    readonly slack: number;
    readonly windowMs: number;
}
