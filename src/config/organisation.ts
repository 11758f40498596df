/** A party for whom callers work, with its keys and its usage cap. */
export interface Organisation {
    readonly name: string;
    /** Keys that its callers send; no two organisations share one. */
    readonly keys: readonly string[];
    /** Requests per second over the whole fleet; 0 for no limit. */
    readonly requestsPerSecond: number;
    /** Requests that may come at once beyond the rate. */
    readonly burst: number;
    /** Rank of its work, 0 is the most urgent, in place of that of the route; undefined when the route decides. */
    readonly priority: number | undefined;
}
