/** Shares of the healthy upstreams of a service in their respective worst window of 2 s. */
export interface FloorResult {
    /** Smallest share that received a request. */
    readonly minUsedShare: number;
    /** Smallest share that received a request or was not suspected. */
    readonly minUnsuspectedShare: number;
}
