/** Answer of an owner to a revocation. */
export const RevokeState = {
    /** Never dispatched, and a late copy will be refused. */
    Revoked: "revoked",
    /** Sent to the upstream; its end is not known. */
    Dispatched: "dispatched",
    Finished: "finished",
    /** The owner cannot tell: other incarnation, or another copy with the same key may still run. */
    Unknown: "unknown",
    /** No answer of the owner. */
    NoReply: "no-reply",
} as const;

export type RevokeState = (typeof RevokeState)[keyof typeof RevokeState];
