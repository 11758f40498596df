/** How the stand-in platform behaves. */
export const PlatformMode = {
    Normal: "normal",
    /** Answers with the values that stood when the mode was set. */
    Stale: "stale",
    /** Closes each connection without an answer. */
    Absent: "absent",
} as const;

export type PlatformMode = (typeof PlatformMode)[keyof typeof PlatformMode];
