/** Whether and how the stand-in platform fails. */
export const PlatformMode = {
    Normal: "normal",
    /** Answers with the values from the time when the mode was set. */
    Stale: "stale",
    /** Closes each connection without an answer. */
    Absent: "absent",
} as const;

export type PlatformMode = (typeof PlatformMode)[keyof typeof PlatformMode];
