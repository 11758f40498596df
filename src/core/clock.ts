export interface Clock {
    /** Milliseconds of a monotonic clock of this process. */
    getMonotonicMs(): number;
    /** Milliseconds since 1970-01-01 UTC; may step in both directions. */
    getWallMs(): number;
}
