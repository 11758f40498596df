/** Attempts of one service that a daemon has sent in the last window of the retry budget. */
export interface ServiceCount {
    readonly service: string;
    /** First attempts. */
    readonly requests: number;
    /** Attempts after the first. */
    readonly repeats: number;
}
