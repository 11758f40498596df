/** Reply of an owner to a revocation. */
export const RevokeState = {
    /** Never dispatched, and a late copy will be refused. */
    Revoked: "revoked",
    /** Sent to the upstream; the result is not known yet. */
    Dispatched: "dispatched",
    Finished: "finished",
    /** The owner cannot tell: it is another incarnation, or another copy with the same key may still run. */
    Unknown: "unknown",
    /** No reply of the owner arrived. */
    NoReply: "no-reply",
} as const;

export type RevokeState = (typeof RevokeState)[keyof typeof RevokeState];
