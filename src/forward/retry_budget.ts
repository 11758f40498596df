/** Limits the attempts after the first. */
export interface RetryBudget {
    /** Counts a first attempt for the service; `percent` of them may be retried, unless the budget has its own share. */
    add(service: string, percent: number): void;
    /** True when one more attempt would be allowed with this share of the budget, 1 by default. */
    has(service: string, share?: number): boolean;
    /** True when one more attempt is allowed, which is then counted. */
    take(service: string): boolean;
    /** Gives back an attempt that was taken and reached no upstream. */
    release(service: string): void;
}
