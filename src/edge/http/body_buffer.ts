import { findBodyCapacity } from "./find_body_capacity.ts";

/**
 * Collects a body in one buffer. A list of chunks would take many times their size when a peer sends a few bytes per
 * chunk, because each chunk is an object that retains the whole read buffer that it is a slice of; blocks that are
 * joined at the end would hold the body twice.
 */
export class BodyBuffer {
    private buffer: Buffer = Buffer.alloc(0);
    private length = 0;

    /** `declaredBytes` is the capacity when it is known; that of a longer body grows up to `maxBytes`. */
    constructor(private readonly maxBytes: number, private readonly declaredBytes = 0) {}

    add(chunk: Buffer): void {
        const length = this.length + chunk.length;
        if (this.length === 0 && chunk.length >= this.declaredBytes) {
            // Most bodies have one chunk, which needs no copy. A second one finds no spare capacity.
            this.buffer = chunk;
        }
        else {
            if (length > this.buffer.length) {
                const grown = Buffer.allocUnsafeSlow(
                    Math.max(this.declaredBytes, findBodyCapacity(length, this.maxBytes)),
                );
                this.buffer.copy(grown, 0, 0, this.length);
                this.buffer = grown;
            }
            chunk.copy(this.buffer, this.length);
        }
        this.length = length;
    }

    getLength(): number {
        return this.length;
    }

    getBytes(): Uint8Array {
        return this.buffer.subarray(0, this.length);
    }
}
