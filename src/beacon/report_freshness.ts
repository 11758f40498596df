/** Result of the comparison of a received report with the known one. */
export const ReportFreshness = {
    /** The same report or a newer one is known. */
    Stale: "stale",
    /** Newer, with the same condition. */
    Newer: "newer",
    /** Newer, with another condition of the upstream. */
    ConditionChanged: "condition-changed",
} as const;

export type ReportFreshness = (typeof ReportFreshness)[keyof typeof ReportFreshness];
