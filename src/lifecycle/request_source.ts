/** Sender of a request to this daemon. */
export const RequestSource = {
    Caller: "caller",
    /** Another daemon, which forwarded an attempt to an upstream that this daemon owns. */
    Daemon: "daemon",
} as const;

export type RequestSource = (typeof RequestSource)[keyof typeof RequestSource];
