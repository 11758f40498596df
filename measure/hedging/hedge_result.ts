/** What one replay has measured. */
export interface HedgeResult {
    /** Milliseconds to the answer of each request that was answered. */
    readonly answersMs: number[];
    requests: number;
    /** Milliseconds for which slots were in use. */
    workMs: number;
    hedges: number;
    /** Hedges that were due and refused, by bound. */
    readonly refusals: Map<string, number>;
}
