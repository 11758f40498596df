/** Attempts of one service that a daemon has sent since its start. */
export interface ServiceCount {
    readonly service: string;
    /** First attempts. */
    readonly requests: number;
    /** Attempts after the first. */
    readonly repeats: number;
}
