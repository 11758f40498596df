/** Largest block in bytes; smaller ones grow with the body, so that a short body takes little more than itself. */
const maxBlockBytes = 1_048_576;

/**
 * Collects a body in blocks, which are joined when it is complete. A list of chunks would take many times their
 * size when a peer sends a few bytes per chunk, because each chunk is an object that retains the whole read buffer
 * that it is a slice of; one buffer that grows would be copied each time and leave its smaller copies behind.
 */
export class BodyBuffer {
    private readonly fullBlocks: Buffer[] = [];
    private block: Buffer = Buffer.alloc(0);
    /** Bytes of the last block that are filled. */
    private filled = 0;
    private length = 0;

    /** `maxBytes` bounds the capacity that is allocated in advance; all of `declaredBytes` is, when it is known. */
    constructor(private readonly maxBytes: number, private readonly declaredBytes = 0) {}

    add(chunk: Buffer): void {
        const start = this.length;
        this.length += chunk.length;
        if (start === 0 && chunk.length < this.declaredBytes) {
            this.block = Buffer.allocUnsafeSlow(this.declaredBytes);
            this.filled = chunk.copy(this.block);
            return;
        }
        if (start === 0) {
            // Most bodies have one chunk, which needs no copy. A second one finds no spare capacity.
            this.block = chunk;
            this.filled = chunk.length;
            return;
        }
        const copied = chunk.copy(this.block, this.filled);
        this.filled += copied;
        if (copied < chunk.length) {
            this.addBlock(start + copied, chunk.length - copied);
            this.filled = chunk.copy(this.block, 0, copied);
        }
    }

    getLength(): number {
        return this.length;
    }

    getBytes(): Uint8Array {
        const last = this.block.subarray(0, this.filled);
        return this.fullBlocks.length === 0 ? last : Buffer.concat([...this.fullBlocks, last], this.length);
    }

    private addBlock(length: number, neededBytes: number): void {
        this.fullBlocks.push(this.block);
        const spareBytes = Math.min(length, maxBlockBytes, this.maxBytes - length);
        this.block = Buffer.allocUnsafe(Math.max(neededBytes, spareBytes));
    }
}
