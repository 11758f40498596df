/** States of a daemon, in the order in which it passes through them. */
export const DaemonState = {
    Starting: "starting",
    Serving: "serving",
    Draining: "draining",
    Closed: "closed",
} as const;

export type DaemonState = (typeof DaemonState)[keyof typeof DaemonState];
