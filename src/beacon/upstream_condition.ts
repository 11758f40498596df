/** What senders shall know at once of an upstream; everything else about it may be told later. */
export const UpstreamCondition = {
    Healthy: "working",
    Failing: "failing",
    Leaving: "leaving",
} as const;

export type UpstreamCondition = (typeof UpstreamCondition)[keyof typeof UpstreamCondition];
