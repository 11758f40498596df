/**
 * Collects a body in one buffer. A list of chunks would take many times their size when a peer sends a few
 * bytes per chunk, because each chunk is an object that retains the whole read buffer that it is a slice of.
 */
export class BodyBuffer {
    private buffer: Buffer = Buffer.alloc(0);
    private length = 0;

    /** `maxBytes` bounds the capacity that is allocated in advance. */
    constructor(private readonly maxBytes: number) {}

    add(chunk: Buffer): void {
        const start = this.length;
        this.length += chunk.length;
        if (start === 0) {
            // Most bodies have one chunk, which needs no copy. A second one finds no spare capacity.
            this.buffer = chunk;
            return;
        }
        if (this.length > this.buffer.length) {
            const largerBuffer = Buffer.allocUnsafe(
                Math.max(this.length, Math.min(2 * this.buffer.length, this.maxBytes)),
            );
            this.buffer.copy(largerBuffer, 0, 0, start);
            this.buffer = largerBuffer;
        }
        chunk.copy(this.buffer, start);
    }

    getLength(): number {
        return this.length;
    }

    getBytes(): Uint8Array {
        return this.buffer.subarray(0, this.length);
    }
}
