/** An upstream that this daemon owns, as configured in its settings. */
export interface OwnedUpstream {
    readonly id: string;
    readonly service: string;
    /** IP address and port of the upstream. */
    readonly address: string;
    /** Number of requests that the upstream runs concurrently. */
    readonly slots: number;
}
