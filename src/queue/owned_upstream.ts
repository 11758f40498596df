/** An upstream that this daemon owns, from its settings. */
export interface OwnedUpstream {
    readonly id: string;
    readonly service: string;
    /** Address (IP number and port) of the upstream. */
    readonly address: string;
    /** Requests that the upstream runs at once. */
    readonly slots: number;
}
