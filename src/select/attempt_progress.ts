/** What became of the earlier attempts of a request. */
export interface AttemptProgress {
    /** Attempts that an upstream may have run. */
    readonly sends: number;
    /** Upstreams whose owners refused only because another one might serve the request sooner. */
    readonly redirected: ReadonlySet<string>;
}
