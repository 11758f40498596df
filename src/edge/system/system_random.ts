import { randomBytes } from "node:crypto";
import type { RandomSource } from "../../core/random_source.ts";

const NUMBERS_PER_BATCH = 256;
const BYTES_PER_NUMBER = 4;

/** Random numbers of the operating system, fetched in batches because a call for each one would be slow. */
export class SystemRandom implements RandomSource {
    private batch = randomBytes(0);
    private offset = 0;

    getFloat(): number {
        if (this.offset >= this.batch.length) {
            this.batch = randomBytes(NUMBERS_PER_BATCH * BYTES_PER_NUMBER);
            this.offset = 0;
        }
        const value = this.batch.readUInt32LE(this.offset);
        this.offset += BYTES_PER_NUMBER;
        return value / 2 ** 32;
    }
}
