/** Decision about a hedge that is due: allowed, or the bound that refuses it. */
export const HedgeVerdict = {
    Allowed: "allowed",
    /** The request may not be repeated. */
    NotRepeatable: "not-repeatable",
    /** The share of requests that may be hedged is used up. */
    Share: "share",
    /** The service has too few free slots. */
    Slots: "slots",
    RetryBudget: "retry-budget",
} as const;

export type HedgeVerdict = (typeof HedgeVerdict)[keyof typeof HedgeVerdict];
