/** What a connection of a caller is used for; a lower number is closed first when there are too many. */
export const ConnectionPhase = {
    /** No request has arrived. */
    Unused: 0,
    /** All requests are answered. */
    Idle: 1,
    /** A request is not complete, so it has not been executed. */
    Reading: 2,
    /** The caller has not taken its whole answer yet. */
    Answering: 3,
    /** A request that is complete runs. */
    Running: 4,
} as const;

export type ConnectionPhase = (typeof ConnectionPhase)[keyof typeof ConnectionPhase];
