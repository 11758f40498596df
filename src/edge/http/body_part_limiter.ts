/** Parts of any size that a body may have; a client that writes a short body byte by byte sends one for each byte. */
const freeParts = 16_384;
/** Least average bytes of further parts. Each part costs some microseconds, whatever its size. */
const leastPartBytes = 16;

/** Limits the parts of one body, because a read of 64 KB can hold 10,000 chunks of one byte. */
export class BodyPartLimiter {
    private parts = 0;
    private bytes = 0;

    /** Counts a part; false when the body has more parts than allowed for its bytes. */
    add(bytes: number): boolean {
        this.parts += 1;
        this.bytes += bytes;
        return this.parts <= freeParts + this.bytes / leastPartBytes;
    }
}
