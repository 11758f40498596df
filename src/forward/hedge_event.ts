/** What happened to a hedge, for log and metrics. */
export const HedgeEvent = {
    Sent: "sent",
    /** The hedge gave the answer. */
    Won: "won",
    /** The hedge was cancelled, because the earlier attempt has answered. */
    Cancelled: "cancelled",
    /** A bound refused the hedge. */
    Refused: "refused",
} as const;

export type HedgeEvent = (typeof HedgeEvent)[keyof typeof HedgeEvent];
