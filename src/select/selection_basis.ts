/** Information about an upstream on which its selection was based, for the log. */
export interface SelectionBasis {
    /** Estimated probability that the upstream has a fault. */
    readonly faultProbability: number;
    /** Milliseconds since the owner's last report. */
    readonly ageMs: number;
    /** Expected requests per slot. */
    readonly load: number;
    /** Probability that no slot is free. */
    readonly fullProbability: number;
    /** Number of upstreams from which it was selected. */
    readonly candidates: number;
    /** Expected loss as a fraction of the value of the request; absent when it was not selected by loss. */
    readonly loss?: number;
    /** True when the request may explore upstreams that are likely to fail. */
    readonly learns: boolean;
}
