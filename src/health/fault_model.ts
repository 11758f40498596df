/**
 * Two-state model of an upstream: it is healthy, or it has a fault that makes most of its requests fail. The
 * figures are those of gray failures that last for seconds. If one does not fit an upstream, the estimate
 * needs a few more requests to follow a change of its state.
 */
export const faultModel = {
    /** Fraction of requests that fail while the upstream is healthy. */
    healthyFailureRate: 0.02,
    /** Fraction of requests that fail during a fault. */
    faultyFailureRate: 0.75,
    /**
     * Fraction of requests that fail after they were processed, while the upstream is healthy and during a
     * fault.
     */
    healthyLateFailureRate: 0.04,
    faultyLateFailureRate: 0.2,
    /** Fraction of slow answers, while the upstream is healthy and during a fault. */
    healthySlowRate: 0.05,
    faultySlowRate: 0.3,
    /** Mean time between two faults of an upstream in milliseconds. */
    meanHealthyMs: 20_000,
    /** Mean length of a fault in milliseconds. */
    meanFaultMs: 8_000,
} as const;
