import { IncomingMessage } from "node:http";
import type { BodyPartLimiter } from "./body_part_limiter.ts";

/** Parts from this size on are not merged. */
const smallPartBytes = 1_024;
/** Bytes of a block in which small parts are merged. */
const blockBytes = 4_096;
/** Small parts in one turn of the event loop after which the connection is not read until the next turn. */
const maxTurnParts = 512;

/**
 * A request that can merge small parts of its body. Each part is a buffer that takes several hundred bytes of memory, so
 * that a body in chunks of a byte would take a hundred times its size while it waits to be read.
 */
export class MergingMessage extends IncomingMessage {
    private limiter: BodyPartLimiter | undefined;
    private handleExceeded: () => void = () => undefined;
    private isDiscarding = false;
    /** Parts of this turn. */
    private parts = 0;
    private blocks: Buffer[] = [];
    /** Bytes used of the last block. */
    private usedBytes = 0;

    /** Merges the small parts that follow. Calls `handleExceeded` once, and drops further parts, when there are too many. */
    mergeParts(limiter: BodyPartLimiter, handleExceeded: () => void): void {
        this.limiter = limiter;
        this.handleExceeded = handleExceeded;
    }

    /** Called by Node.js with each part of the body, and at its end with another value. */
    override push(part: unknown): boolean {
        if (this.limiter === undefined) {
            return super.push(part);
        }
        if (!(part instanceof Buffer)) {
            this.releaseBlocks();
            return super.push(part);
        }
        if (this.isDiscarding) {
            return false;
        }
        if (!this.limiter.add(part.length)) {
            this.isDiscarding = true;
            this.blocks = [];
            this.handleExceeded();
            return false;
        }
        return this.addPart(part);
    }

    private addPart(part: Buffer): boolean {
        this.parts += 1;
        if (this.parts === 1) {
            setImmediate(() => {
                this.parts = 0;
                this.releaseBlocks();
            });
        }
        // The first part of a turn is usually the only one.
        if (this.parts === 1 || part.length >= smallPartBytes) {
            this.releaseBlocks();
            return super.push(part);
        }
        this.addToBlock(part);
        return this.parts < maxTurnParts;
    }

    private addToBlock(part: Buffer): void {
        let block = this.blocks.at(-1);
        if (block === undefined || block.length - this.usedBytes < part.length) {
            this.closeBlock();
            block = Buffer.allocUnsafeSlow(blockBytes);
            this.blocks.push(block);
        }
        part.copy(block, this.usedBytes);
        this.usedBytes += part.length;
    }

    private closeBlock(): void {
        const block = this.blocks.pop();
        if (block !== undefined) {
            this.blocks.push(block.subarray(0, this.usedBytes));
        }
        this.usedBytes = 0;
    }

    private releaseBlocks(): void {
        this.closeBlock();
        const blocks = this.blocks;
        this.blocks = [];
        if (!this.destroyed) {
            blocks.forEach(block => super.push(block));
        }
    }
}
