/** Work that the sound upstreams of a service got in the worst span of 2 s, in shares of the sound upstreams. */
export interface FloorResult {
    /** Those that got a request. */
    readonly minUsedShare: number;
    /** Those that got a request or got none without being suspected. */
    readonly minUnsuspectedShare: number;
}
