/** Causes of unserved requests, in the order in which they are looked for. */
export const FailureCause = {
    CallFailed: "a call of its run failed",
    AvoidableFault: "ran at a suspected upstream while another was trusted and had no queue",
    UnavoidableFault: "ran at a suspected upstream and no other was trusted without a queue",
    UnexpectedFault: "ran at a trusted upstream that failed",
    NotRetried: "idempotent and not retried",
    Refused: "refused before it ran",
    Deadline: "waited past its deadline",
    CallerLeft: "the caller left",
    NoEnd: "no line says how it ended: the daemon stopped, or its log is missing",
} as const;

export type FailureCause = (typeof FailureCause)[keyof typeof FailureCause];
