import { faultModel } from "./fault_model.ts";

const { meanFaultMs, meanHealthyMs } = faultModel;
/** Stationary probability of a fault: the estimate for an upstream without results. */
const stationaryProbability = meanFaultMs / (meanFaultMs + meanHealthyMs);
/** Milliseconds in which the distance to the stationary probability decays to 1/e. */
const decayTimeMs = 1 / (1 / meanFaultMs + 1 / meanHealthyMs);

/** Fault probability `ageMs` milliseconds after it was `probability`, without results in between. */
export function computeDecayedProbability(probability: number, ageMs: number): number {
    return stationaryProbability +
        (probability - stationaryProbability) * Math.exp(-Math.max(0, ageMs) / decayTimeMs);
}
