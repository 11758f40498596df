/** Why a connection of a caller was closed by a limit. */
export const ConnectionCloseCause = {
    /** There are more connections than allowed. */
    Surplus: "surplus",
    /** The head of a request was not complete in time. */
    SlowHead: "slow-head",
    /** The body of a request progressed too slowly. */
    SlowBody: "slow-body",
    /** More requests were sent ahead of their answers than allowed. */
    Pipelined: "pipelined",
    /** The chunks of a body were too small for their number. */
    SmallParts: "small-parts",
} as const;

export type ConnectionCloseCause = (typeof ConnectionCloseCause)[keyof typeof ConnectionCloseCause];
