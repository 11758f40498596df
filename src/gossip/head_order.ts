/** How the head of a peer relates to the head of this daemon. */
export const HeadOrder = {
    Same: "same",
    Newer: "newer",
    Older: "older",
    /** The same version with another digest. */
    Conflict: "conflict",
} as const;

export type HeadOrder = (typeof HeadOrder)[keyof typeof HeadOrder];
