/** Queues of this daemon that a drain empties. */
export interface QueuedWorkReleaser {
    /** Returns all work that has not started as `not-executed`; the result is the number of requests. */
    releaseQueued(): number;
}
