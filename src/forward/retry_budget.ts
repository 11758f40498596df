/** Limits the attempts after the first. */
export interface RetryBudget {
    /** Counts a first attempt for the service; `percent` of them may be retried. */
    add(service: string, percent: number): void;
    /** True when one more attempt is allowed, which is then counted. */
    take(service: string): boolean;
}
