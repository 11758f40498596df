/** What a trial request showed about an ejected upstream. */
export const TrialResult = {
    Succeeded: "good",
    Failed: "bad",
    /** Not dispatched, shed, cancelled or lost on the way. */
    Inconclusive: "unclear",
} as const;

export type TrialResult = (typeof TrialResult)[keyof typeof TrialResult];
