/** What became of the earlier attempts of a request. */
export interface AttemptHistory {
    /** Attempts that an upstream may have run. */
    readonly possibleExecutions: number;
    /** Upstreams whose owners refused only because another one might serve the request sooner. */
    readonly redirected: ReadonlySet<string>;
}
