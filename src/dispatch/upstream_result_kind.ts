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
    /** The upstream declared that it did not and will not run the request. */
    Declined: "declined",
    /** Another upstream has the address now, and did not run the request. */
    Replaced: "replaced",
    /** The received bytes are not the complete answer to this request. */
    Garbled: "garbled",
} as const;

export type UpstreamResultKind = (typeof UpstreamResultKind)[keyof typeof UpstreamResultKind];
