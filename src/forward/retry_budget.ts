/** Limits the attempts after the first. */
export interface RetryBudget {
    /**
     * Counts a first attempt of the service; `percent` of them may be retried, unless the budget has its own
     * limit.
     */
    add(service: string, percent: number): void;
    /** True when one more attempt would be allowed with this share of the budget, 1 by default. */
    has(service: string, share?: number): boolean;
    /** True when one more attempt is allowed, which is then counted. */
    take(service: string): boolean;
    /** Counts a first attempt that is a repeat all the same: a call of a request that runs again. */
    addRepeat(service: string): void;
    /** Returns an attempt that was taken but reached no upstream. */
    release(service: string): void;
}
