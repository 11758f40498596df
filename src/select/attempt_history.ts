/** Results of the earlier attempts of a request. */
export interface AttemptHistory {
    /** Attempts that an upstream may have executed. */
    readonly possibleExecutions: number;
    /** Upstreams whose owners refused only because another upstream might serve the request sooner. */
    readonly redirected: ReadonlySet<string>;
}
