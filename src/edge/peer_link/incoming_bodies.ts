import type { MemoryCharge } from "../../memory/memory_charge.ts";
import type { MemoryGuard } from "../../memory/memory_guard.ts";
import { MemoryHolder } from "../../memory/memory_holder.ts";
import type { MemoryUser } from "../../memory/memory_user.ts";

interface Handlers {
    readonly handleWhole: (body: Uint8Array) => void;
    /** Called when the body is dropped because it does not progress while memory is short. */
    readonly handleDropped: () => void;
}

interface OpenOptions extends Handlers {
    /** False for the answer to a request that has run; it is not closed when memory is short. */
    readonly canClose?: boolean;
}

interface IncomingBody extends MemoryUser {
    readonly buffer: Buffer;
    readonly charge: MemoryCharge;
    readonly handlers: Handlers;
    length: number;
}

/** Bodies that arrive over a link in pieces. */
export class IncomingBodies {
    private readonly bodies = new Map<number, IncomingBody>();
    /** Bodies that wait for room. */
    private readonly waiting = new Map<number, AbortController>();

    constructor(private readonly memory: MemoryGuard) {}

    /** False when there is no memory for the body; its pieces are then discarded. */
    open(id: number, length: number, options: OpenOptions): boolean {
        const charge = this.memory.openCharge(MemoryHolder.LinkFrame, length);
        if (charge === undefined) {
            return false;
        }
        this.addBody(id, charge, options);
        return true;
    }

    /** Waits for room; false when none was found in time, or the body was cancelled. */
    async waitToOpen(id: number, length: number, options: OpenOptions): Promise<boolean> {
        const controller = new AbortController();
        this.waiting.set(id, controller);
        const charge = await this.memory.waitForCharge(MemoryHolder.LinkFrame, length, controller.signal);
        this.waiting.delete(id);
        if (charge === undefined || controller.signal.aborted) {
            charge?.close();
            return false;
        }
        this.addBody(id, charge, options);
        return true;
    }

    /** Adds a piece; false when it exceeds the announced length. */
    add(id: number, piece: Uint8Array): boolean {
        const body = this.bodies.get(id);
        if (body === undefined) {
            return true;
        }
        if (piece.length > body.buffer.length - body.length) {
            return false;
        }
        body.buffer.set(piece, body.length);
        this.memory.recordDropped(piece.length);
        body.length += piece.length;
        if (body.length === body.buffer.length) {
            this.bodies.delete(id);
            this.memory.release(body);
            body.handlers.handleWhole(body.buffer);
            // The receiver of the body has charged what it keeps.
            body.charge.close();
        }
        return true;
    }

    /** Discards a body and its later pieces. */
    cancel(id: number): void {
        this.waiting.get(id)?.abort();
        const body = this.bodies.get(id);
        if (body !== undefined) {
            this.bodies.delete(id);
            this.memory.release(body);
            body.charge.close();
        }
    }

    close(): void {
        [...this.waiting.keys(), ...this.bodies.keys()].forEach(id => this.cancel(id));
    }

    private addBody(id: number, charge: MemoryCharge, { canClose = true, ...handlers }: OpenOptions): void {
        const body: IncomingBody = {
            buffer: Buffer.allocUnsafeSlow(charge.getBytes()),
            charge,
            handlers,
            length: 0,
            getHeldBytes: () => charge.getBytes(),
            getProgressBytes: () => body.length,
            close: () => {
                this.cancel(id);
                handlers.handleDropped();
            },
        };
        this.bodies.set(id, body);
        if (canClose) {
            this.memory.register(body);
        }
    }
}
