/** What the key of a request allows. */
export const AuthenticationKind = {
    /** The request needs no key. */
    Public: "public",
    /** The key belongs to an organisation. */
    Accepted: "accepted",
    /** A run of an upstream of this daemon makes the request. */
    Call: "call",
    /** No organisation of the newest known configuration holds the key. */
    UnknownKey: "unknown-key",
    /** The configuration is too old to tell whether the key was removed or added. */
    Unproved: "unproved",
} as const;

export type AuthenticationKind = (typeof AuthenticationKind)[keyof typeof AuthenticationKind];
