import type { ServerResponse } from "node:http";
import { Readable } from "node:stream";
import type { MemoryCharge } from "../../memory/memory_charge.ts";
import type { MemoryGuard } from "../../memory/memory_guard.ts";
import { MemoryHolder } from "../../memory/memory_holder.ts";
import type { MemoryUser } from "../../memory/memory_user.ts";
import { createBufferView } from "../http/create_buffer_view.ts";

interface Options {
    readonly memory: MemoryGuard;
    /** True while an earlier answer of the connection is not complete. */
    readonly isBehindOther: () => boolean;
}

/** Answers up to this size are written at once. */
const pieceBytes = 65_536;

/** An answer on its way to a caller, in pieces that the caller takes; stays charged until `release`. */
export class AnswerTransfer implements MemoryUser {
    private sentBytes = 0;

    private constructor(
        private readonly response: ServerResponse,
        private readonly body: Uint8Array,
        private readonly options: Options,
        private readonly charge: MemoryCharge,
    ) {}

    /** Undefined for a short answer. */
    static open(response: ServerResponse, body: Uint8Array, options: Options): AnswerTransfer | undefined {
        if (body.length <= pieceBytes) {
            return undefined;
        }
        const charge = options.memory.addCharge(MemoryHolder.CallerAnswer, body.length);
        const transfer = new AnswerTransfer(response, body, options, charge);
        options.memory.register(transfer);
        return transfer;
    }

    getStream(): Readable {
        return Readable.from(this.createPieces(), { objectMode: false });
    }

    /**
     * 0 behind another answer, which keeps this one from making progress. Later requests of the connection do not count:
     * their answers cannot be sent before this one has been read.
     */
    getHeldBytes(): number {
        return this.options.isBehindOther() ? 0 : this.charge.getBytes();
    }

    getProgressBytes(): number {
        return this.sentBytes;
    }

    release(): void {
        this.options.memory.release(this);
        this.charge.close();
    }

    /** Closes the connection; its caller sees that the answer is not complete. */
    close(): void {
        this.release();
        this.response.destroy();
    }

    private *createPieces(): Generator<Buffer> {
        const view = createBufferView(this.body);
        while (this.sentBytes < view.length) {
            const piece = view.subarray(this.sentBytes, this.sentBytes + pieceBytes);
            this.sentBytes += piece.length;
            yield piece;
        }
    }
}
