/** When an upstream counts as suspected, at its owner and at the senders. */
export const suspicionLimits = {
    /** Probability of a fault above which work that must not be repeated goes elsewhere. */
    nonIdempotentLimit: 0.25,
    /** Probability of a fault above which idempotent work is let through as a trial only. */
    idempotentLimit: 0.6,
    /**
     * Probabilities of a fault up to which a suspected upstream is tried by idempotent work with an attempt
     * to spare, and by other work. A belief fades to them within 2 s and 5 s of the last failure.
     */
    retryableTrialLimit: 0.8,
    nonRetryableTrialLimit: 0.6,
    /**
     * Probability of a fault up to which senders of other failure domains try a suspected upstream. A belief
     * that a failure has left takes some 2 s from `singleTrialLimit` to fade to this, so it gets there only
     * where the senders of its own failure domain have not tried it, which is so when they have no callers of
     * the service.
     */
    remoteTrialLimit: 0.5,
    /**
     * Milliseconds between two trials. A failing trial ends within milliseconds and costs the fleet one
     * retry.
     */
    trialIntervalMs: 250,
} as const;
