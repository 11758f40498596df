export interface RandomSource {
    /** Returns a uniformly distributed number in [0, 1). */
    getFloat(): number;
}
