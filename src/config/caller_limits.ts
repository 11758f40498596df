/** What callers may send, and how long they may take, as the operators set it. */
export interface CallerLimits {
    readonly maxHeaderBytes: number;
    readonly maxBodyBytes: number;
    /** Milliseconds in which a head must be complete. */
    readonly headerTimeoutMs: number;
    /** Milliseconds for which a connection without a request is kept. */
    readonly idleTimeoutMs: number;
}
