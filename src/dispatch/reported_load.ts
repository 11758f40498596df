/** Load that an upstream reports about itself. It is delayed and may be wrong, so it is only a hint. */
export interface ReportedLoad {
    readonly running: number;
    readonly waiting: number;
    /** Number of requests that the upstream runs concurrently. */
    readonly slots: number;
}
