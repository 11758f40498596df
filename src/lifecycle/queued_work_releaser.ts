/** The queues of this daemon as the drain sequence sees them. */
export interface QueuedWorkReleaser {
    /** Hands back all work that has not started as `not-executed`, and returns how much there was. */
    releaseQueued(): number;
}
