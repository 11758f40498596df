/** Load that an upstream reports of itself. It lags and may mislead, so it is only a hint. */
export interface ReportedLoad {
    readonly running: number;
    readonly waiting: number;
    /** Requests that the upstream runs at once. */
    readonly slots: number;
}
