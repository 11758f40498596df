/**
 * Two-state model of an upstream: it works, or it has a fault that makes most of its requests fail. The
 * figures are those of gray failures that last for seconds; a wrong figure costs a few requests more until
 * the state is known.
 */
export const faultModel = {
    /** Share of requests that fail while the upstream works. */
    healthyFailureRate: 0.02,
    /** Share of requests that fail during a fault. */
    faultyFailureRate: 0.75,
    /** Share of requests that fail after they were worked on, while the upstream works and during a fault. */
    healthyLateFailureRate: 0.04,
    faultyLateFailureRate: 0.2,
    /** Share of slow answers that work as well as they should, and during a fault. */
    healthySlowRate: 0.05,
    faultySlowRate: 0.3,
    /** Mean milliseconds between two faults of an upstream. */
    meanHealthyMs: 20_000,
    /** Mean length of a fault in milliseconds. */
    meanFaultMs: 8_000,
} as const;
