/** What a sender knew about an upstream when it selected it. */
export interface SelectionBasis {
    /** Probability that the upstream has a fault. */
    readonly faultProbability: number;
    /** Milliseconds since the owner reported that. */
    readonly ageMs: number;
    /** Requests per slot. */
    readonly load: number;
    /** Upstreams among which it was selected. */
    readonly candidates: number;
    /** True when the request was sent there to learn whether it works. */
    readonly learns: boolean;
}
