/** Condition of an upstream. A change is announced at once; the rest of the state may be reported later. */
export const UpstreamCondition = {
    Healthy: "healthy",
    Failing: "failing",
    Leaving: "leaving",
} as const;

export type UpstreamCondition = (typeof UpstreamCondition)[keyof typeof UpstreamCondition];
