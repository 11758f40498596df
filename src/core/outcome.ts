/** What happened to the work of a request, as told to the caller. */
export const Outcome = {
    Executed: "executed",
    /** The work was not run and will not be run. */
    NotExecuted: "not-executed",
    Unknown: "unknown",
} as const;

export type Outcome = (typeof Outcome)[keyof typeof Outcome];
