/** Result of a trial request to an ejected upstream. */
export const TrialResult = {
    Succeeded: "succeeded",
    Failed: "failed",
    /** Not dispatched, shed, cancelled or lost on the path to the owner. */
    Inconclusive: "inconclusive",
} as const;

export type TrialResult = (typeof TrialResult)[keyof typeof TrialResult];
