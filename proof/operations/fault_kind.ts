/** Faults that a run applies to daemons and links. */
export const FaultKind = {
    Pause: "pause",
    Restart: "restart",
    /** Drains, then restarts. */
    Drain: "drain",
    /** Loses messages in one direction. */
    LinkLoss: "link-loss",
    /** Steps the wall clock forward or backward. */
    ClockStep: "clock-step",
    /** Ejects the upstreams of one daemon in the selector of another. */
    Ejection: "ejection",
} as const;

export type FaultKind = (typeof FaultKind)[keyof typeof FaultKind];
