/** Limits of the operation table. */
export interface OperationLimits {
    /** Maximum number of operations that are running or have run. */
    readonly records: number;
    /** Maximum number of further records, of keys that were closed without a run. */
    readonly closedRecords: number;
    /** Maximum bytes of all kept answers together. */
    readonly totalBytes: number;
    /** Maximum bytes of one kept answer. */
    readonly answerBytes: number;
    /** Longest validity of a key in milliseconds from now. */
    readonly validMs: number;
}
