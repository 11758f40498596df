/** When an upstream counts as suspected, at its owner and at the senders. */
export const suspicion = {
    /** Probability of a fault above which work that must not be repeated goes elsewhere. */
    singleRunLimit: 0.25,
    /** Probability of a fault above which idempotent work is let through as a trial only. */
    idempotentLimit: 0.6,
    /** Milliseconds between two trials. A failing trial ends within milliseconds and costs the fleet one retry. */
    trialMs: 250,
} as const;
