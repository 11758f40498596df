/** What a report that has arrived is worth. */
export const ReportNovelty = {
    /** It or a newer one has arrived before. */
    Known: "known",
    /** Newer, without news. */
    Newer: "newer",
    /** The upstream has begun or ceased to fail or to leave. */
    News: "news",
} as const;

export type ReportNovelty = (typeof ReportNovelty)[keyof typeof ReportNovelty];
