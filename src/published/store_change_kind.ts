/** Kinds of changes in the platform's store. */
export const StoreChangeKind = {
    Configuration: "configuration",
    /** An upstream that was added or changed. */
    Upstream: "upstream",
    UpstreamRemoved: "upstream-removed",
    /** A value that cannot be decoded. A configuration in force stays; an upstream counts as removed. */
    Unreadable: "unreadable",
} as const;

export type StoreChangeKind = (typeof StoreChangeKind)[keyof typeof StoreChangeKind];
