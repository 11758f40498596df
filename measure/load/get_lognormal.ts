import type { RandomSource } from "../../src/core/random_source.ts";

/** Lognormal number with the given mean and coefficient of variation (Box-Muller method). */
export function getLognormal(random: RandomSource, mean: number, variation: number): number {
    const variance = Math.log(1 + variation ** 2);
    const normal = Math.sqrt(-2 * Math.log(1 - random.getFloat())) *
        Math.cos(2 * Math.PI * random.getFloat());
    return mean * Math.exp(normal * Math.sqrt(variance) - variance / 2);
}
