import { faultModel } from "./fault_model.ts";

const { meanFaultMs, meanHealthyMs } = faultModel;
/** Share of time in which an upstream has a fault: what is believed when nothing is known. */
const stationary = meanFaultMs / (meanFaultMs + meanHealthyMs);
/** Milliseconds in which knowledge about the state fades to 1/e. */
const fadeMs = 1 / (1 / meanFaultMs + 1 / meanHealthyMs);

/** Probability of a fault `ageMs` milliseconds after it was `probability`, when nothing was seen since. */
export function computeDecayedProbability(probability: number, ageMs: number): number {
    return stationary + (probability - stationary) * Math.exp(-Math.max(0, ageMs) / fadeMs);
}
