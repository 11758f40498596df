import type { RandomSource } from "../../src/core/random_source.ts";

/** Reproducible random numbers (the mulberry32 generator). */
export class SeededRandom implements RandomSource {
    private state: number;

    constructor(seed: number) {
        this.state = seed >>> 0;
    }

    getFloat(): number {
        this.state = (this.state + 0x6d2b79f5) >>> 0;
        let value = Math.imul(this.state ^ (this.state >>> 15), this.state | 1);
        value ^= value + Math.imul(value ^ (value >>> 7), value | 61);
        return ((value ^ (value >>> 14)) >>> 0) / 4_294_967_296;
    }
}
