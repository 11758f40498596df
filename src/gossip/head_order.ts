/** How the head of a peer relates to the own one. */
export const HeadOrder = {
    Same: "same",
    Newer: "newer",
    Older: "older",
    /** The same version with another digest. */
    Conflict: "conflict",
} as const;

export type HeadOrder = (typeof HeadOrder)[keyof typeof HeadOrder];
