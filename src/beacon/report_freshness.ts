/** What a report that has arrived is worth. */
export const ReportFreshness = {
    /** It or a newer one has arrived before. */
    Stale: "known",
    /** Newer, without news. */
    Newer: "newer",
    /** The upstream has begun or ceased to fail or to leave. */
    ConditionChanged: "news",
} as const;

export type ReportFreshness = (typeof ReportFreshness)[keyof typeof ReportFreshness];
