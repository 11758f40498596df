/** What a trial request showed about an ejected upstream. */
export const TrialResult = {
    Good: "good",
    Bad: "bad",
    /** Not dispatched, shed, cancelled or lost on the way. */
    Unclear: "unclear",
} as const;

export type TrialResult = (typeof TrialResult)[keyof typeof TrialResult];
