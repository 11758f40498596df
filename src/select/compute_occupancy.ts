/**
 * Expected occupancy of an upstream some time after its owner has reported its queue.
 *
 * Load: many entry daemons, each with a small part of the requests, see the queue of an upstream only now and
 * then. A report of free slots that is older than a service time says little about the slots now.
 *
 * @example
 * ```ts
 * const { fullProbability } = computeOccupancy(load.getReport(), { load: 0.6, serviceMs: 200 }, nowMs);
 * ```
 *
 * @module
 */
import type { BackgroundLoad } from "./background_load.ts";
import type { LoadReport } from "./load_report.ts";

interface Occupancy {
    /** Expected requests per slot, queued ones included. */
    readonly load: number;
    /** Probability that no slot is free. */
    readonly fullProbability: number;
    /** Share of the reported requests that are probably still there. */
    readonly freshness: number;
}

/** Factor that brings the logistic function close to the normal distribution. */
const logisticScale = 1.702;
/** Avoids a division by zero when the report is new and certain. */
const minDeviation = 0.05;

/**
 * Treats requests as independent: each reported one ends after an exponential service time, and others start
 * at the rate of the background load (the transient solution of the M/M/infinity queue). The normal
 * distribution replaces the sum of a binomial and a Poisson variable.
 */
export function computeOccupancy(
    { inFlight, others, reportedAtMs, slots }: LoadReport,
    background: BackgroundLoad,
    nowMs: number,
): Occupancy {
    const freshness = Math.exp(-Math.max(0, nowMs - reportedAtMs) / background.serviceMs);
    const started = Math.max(0, background.load * slots - inFlight) * (1 - freshness);
    const mean = others * freshness + started;
    const deviation = Math.max(minDeviation, Math.sqrt(others * freshness * (1 - freshness) + started));
    const score = (mean + inFlight - slots + 0.5) / deviation;
    return {
        load: (mean + inFlight) / slots,
        fullProbability: 1 / (1 + Math.exp(-logisticScale * score)),
        freshness,
    };
}
