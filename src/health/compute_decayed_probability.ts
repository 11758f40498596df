import { faultModel } from "./fault_model.ts";

const { meanFaultMs, meanHealthyMs } = faultModel;
/** Share of time in which an upstream has a fault: what is believed when nothing is known. */
const stationaryProbability = meanFaultMs / (meanFaultMs + meanHealthyMs);
/** Milliseconds in which knowledge about the state fades to 1/e. */
const decayTimeMs = 1 / (1 / meanFaultMs + 1 / meanHealthyMs);

/** Probability of a fault `ageMs` milliseconds after it was `probability`, when nothing was seen since. */
export function computeDecayedProbability(probability: number, ageMs: number): number {
    return stationaryProbability +
        (probability - stationaryProbability) * Math.exp(-Math.max(0, ageMs) / decayTimeMs);
}
