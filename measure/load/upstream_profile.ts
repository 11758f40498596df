/** Behaviour of the stand-in of an upstream. */
export interface UpstreamProfile {
    /** Requests that the upstream runs at once without slowing down. */
    readonly capacity: number;
    /** A service that starts as number n above the capacity takes (n / capacity) ** exponent times as long. */
    readonly slowExponent: number;
    /** Running requests from which on the upstream sheds; Infinity when it never sheds. */
    readonly shedFrom: number;
}
