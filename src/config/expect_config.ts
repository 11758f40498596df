/** What a correct answer looks like. */
export interface ExpectConfig {
    readonly statuses: readonly number[];
    /** Media type of the answer; empty when any is correct. */
    readonly contentType: string;
}
