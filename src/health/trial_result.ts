/** Result of a trial request to an ejected upstream. */
export const TrialResult = {
    Succeeded: "good",
    Failed: "bad",
    /** Not dispatched, shed, cancelled or lost on the path to the owner. */
    Inconclusive: "unclear",
} as const;

export type TrialResult = (typeof TrialResult)[keyof typeof TrialResult];
