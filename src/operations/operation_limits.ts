/** Bounds of the operation table. */
export interface OperationLimits {
    /** Operations that are run or were run. */
    readonly records: number;
    /** Further records of keys that were closed without a run. */
    readonly closedRecords: number;
    /** Bytes of all kept answers. */
    readonly totalBytes: number;
    /** Bytes of one kept answer. */
    readonly answerBytes: number;
    /** Longest time in milliseconds from now to the expiry of a key. */
    readonly validMs: number;
}
