/** Whether the work of a request was executed, as reported to the caller. */
export const Outcome = {
    Executed: "executed",
    /** The work was not run and will not be run. */
    NotExecuted: "not-executed",
    Unknown: "unknown",
} as const;

export type Outcome = (typeof Outcome)[keyof typeof Outcome];
