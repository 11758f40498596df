/**
 * Bytes of a body in one buffer. A list of the parts would take many times their size when a peer sends chunks of a few
 * bytes, because each part is an object and holds the whole read that it was cut from.
 */
export class BodyBuffer {
    private buffer: Buffer = Buffer.alloc(0);
    private length = 0;

    /** `maxBytes` is the largest length for which room is kept in advance. */
    constructor(private readonly maxBytes: number) {}

    add(chunk: Buffer): void {
        const start = this.length;
        this.length += chunk.length;
        if (start === 0) {
            // Most bodies have one part, which needs no copy. The next part finds no room behind it.
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
