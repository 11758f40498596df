/** Faults that a run applies to daemons and links. */
export const FaultKind = {
    Pause: "pause",
    Restart: "restart",
    /** Drains, then restarts. */
    Drain: "drain",
    /** Loses messages in one direction. */
    LinkLoss: "link-loss",
    /** Steps the wall clock forward or back. */
    ClockStep: "clock-step",
    /** Ejects the upstreams of one daemon at another. */
    Ejection: "ejection",
} as const;

export type FaultKind = (typeof FaultKind)[keyof typeof FaultKind];
