/** Who sent a request to this daemon. */
export const RequestSource = {
    Caller: "caller",
    /** Another daemon, which has sent an attempt to an upstream of this one. */
    Daemon: "daemon",
} as const;

export type RequestSource = (typeof RequestSource)[keyof typeof RequestSource];
