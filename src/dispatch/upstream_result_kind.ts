/** How the exchange with an upstream ended. */
export const UpstreamResultKind = {
    /** A complete answer. */
    Answered: "answered",
    /** No byte of the request was sent. */
    NotSent: "not-sent",
    /** The connection failed after the first byte. */
    Cut: "cut",
    TimedOut: "timed-out",
    Cancelled: "cancelled",
    AnswerTooLarge: "answer-too-large",
} as const;

export type UpstreamResultKind = (typeof UpstreamResultKind)[keyof typeof UpstreamResultKind];
