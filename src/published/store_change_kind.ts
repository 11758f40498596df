/** Kinds of changes in the platform's store. */
export const StoreChangeKind = {
    Configuration: "configuration",
    /** An upstream that came or changed. */
    Upstream: "upstream",
    UpstreamRemoved: "upstream-removed",
    /** A value that cannot be read; it says nothing. */
    Unreadable: "unreadable",
} as const;

export type StoreChangeKind = (typeof StoreChangeKind)[keyof typeof StoreChangeKind];
