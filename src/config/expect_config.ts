/** Properties of a correct answer. */
export interface ExpectConfig {
    readonly statuses: readonly number[];
    /** Media type of the answer; empty when any is correct. */
    readonly contentType: string;
}
