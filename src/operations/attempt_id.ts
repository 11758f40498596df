/** Identifies one attempt of one request. */
export interface AttemptId {
    readonly requestId: string;
    /** Counts from 1. */
    readonly attempt: number;
}
