/** Source of randomness. */
export interface RandomSource {
    /** Uniform number in [0, 1). */
    getFloat(): number;
}
