/** Behaviour of a fake upstream under load. */
export interface UpstreamProfile {
    /** Requests that the upstream runs at once without slowing down. */
    readonly capacity: number;
    /**
     * A request that starts as the n-th running one, n above the capacity, takes (n / capacity) ** slowExponent
     * times as long.
     */
    readonly slowExponent: number;
    /** Number of running requests at which the upstream sheds new ones; Infinity when it never sheds. */
    readonly shedFrom: number;
}
