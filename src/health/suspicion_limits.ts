/** Limits of the fault probability for suspected upstreams, at their owner and at the entry daemons. */
export const suspicionLimits = {
    /** Fault probability above which non-idempotent requests go elsewhere. */
    nonIdempotentLimit: 0.25,
    /** Fault probability above which idempotent requests are let through as trial requests only. */
    idempotentLimit: 0.6,
    /**
     * Fault probabilities up to which idempotent requests that can be retried, and other requests, may be
     * trial requests to a suspected upstream. An estimate decays to them within 2 s and 5 s of the last
     * failure.
     */
    retryableTrialLimit: 0.8,
    nonRetryableTrialLimit: 0.6,
    /**
     * Fault probability up to which entry daemons of other failure domains send trial requests to a suspected
     * upstream. After a failure an estimate takes some 2 s to decay from `nonRetryableTrialLimit` to this
     * limit. It reaches the limit only when the entry daemons of the local failure domain have sent no trial
     * request, which is so when they have no callers of the service.
     */
    remoteTrialLimit: 0.5,
    /**
     * Milliseconds between two trial requests. One that fails ends within milliseconds and costs one retry.
     */
    trialIntervalMs: 250,
} as const;
