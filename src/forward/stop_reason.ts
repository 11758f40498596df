/** Why no further attempt of a request was made. */
export const StopReason = {
    Answered: "answered",
    /** The result of the last attempt allows no other one. */
    NotRetryable: "not-retryable",
    CallerLeft: "caller-left",
    Deadline: "deadline",
    /** As many upstreams as the route allows may have run it. */
    Executions: "executions",
    /** Too many owners have refused it. */
    Refusals: "refusals",
    Budget: "budget",
    NoUpstream: "no-upstream",
} as const;

export type StopReason = (typeof StopReason)[keyof typeof StopReason];
