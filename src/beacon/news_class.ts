/** What senders shall know at once of an upstream; everything else about it may be told later. */
export const NewsClass = {
    Working: "working",
    Failing: "failing",
    Leaving: "leaving",
} as const;

export type NewsClass = (typeof NewsClass)[keyof typeof NewsClass];
