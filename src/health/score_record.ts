/**
 * One score of an upstream, with the time at which its owner computed it. Times are monotonic milliseconds.
 */
export interface ScoreRecord {
    readonly upstreamId: string;
    readonly service: string;
    /** Nats. */
    readonly score: number;
    /** Time at which the owner computed the score, or an earlier one. */
    readonly atMs: number;
    /** Time since which the score has been raised, if the owner reported it. */
    readonly raisedSinceMs?: number;
}
