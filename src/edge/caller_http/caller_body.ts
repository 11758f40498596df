import { err, ok, type Result } from "neverthrow";
import type { IncomingMessage } from "node:http";
import { Code } from "../../core/code.ts";
import { createFailure } from "../../core/create_failure.ts";
import type { Failure } from "../../core/failure.ts";
import type { MemoryCharge } from "../../memory/memory_charge.ts";
import type { MemoryGuard } from "../../memory/memory_guard.ts";
import { MemoryHolder } from "../../memory/memory_holder.ts";
import type { MemoryUser } from "../../memory/memory_user.ts";
import { findBodyCapacity } from "../http/find_body_capacity.ts";

interface Options {
    readonly request: IncomingMessage;
    readonly memory: MemoryGuard;
    readonly maxBytes: number;
    /** Aborted when the connection has closed. */
    readonly signal: AbortSignal;
    /** True while other requests of the connection are being handled. */
    readonly hasOtherRequests: () => boolean;
}

/** Milliseconds until a caller may repeat a request that was refused because memory is short. */
const retryAfterMs = 1_000;

/**
 * The body of one request. Its bytes are charged before they are allocated, and stay charged until `release`. While
 * there is no room the body is not read; its caller then waits for the window of the connection.
 */
export class CallerBody implements MemoryUser {
    private charge: MemoryCharge | undefined;
    private buffer = Buffer.alloc(0);
    private length = 0;
    private isReleased = false;

    constructor(private readonly options: Options) {}

    /** Fails with RequestTooLarge or MemoryShort; rejects when the connection closes early. */
    async read(): Promise<Result<Uint8Array, Failure>> {
        const { maxBytes, memory, request, signal } = this.options;
        const declared = request.headers["content-length"];
        const declaredBytes = declared === undefined ? undefined : Number.parseInt(declared, 10);
        request.pause();
        if (declaredBytes !== undefined && declaredBytes > maxBytes) {
            return err(createFailure(Code.RequestTooLarge));
        }
        const hasBody = declaredBytes !== undefined || request.headers["transfer-encoding"] !== undefined;
        if (!hasBody || declaredBytes === 0) {
            // Most requests have no body, and need neither a charge nor a read.
            request.resume();
            return ok(this.buffer);
        }
        const firstBytes = declaredBytes ?? findBodyCapacity(1, maxBytes);
        this.charge = await memory.waitForCharge(MemoryHolder.RequestBody, firstBytes, signal);
        if (this.isReleased) {
            // The exchange has ended while the body waited, so nobody else returns the charge.
            this.charge?.close();
        }
        if (this.charge === undefined || this.isReleased) {
            return this.refuse();
        }
        // The pages of a buffer become resident when they are written.
        this.buffer = Buffer.allocUnsafeSlow(firstBytes);
        memory.register(this);
        try {
            return await this.readChunks(this.charge);
        }
        finally {
            memory.release(this);
        }
    }

    /** 0 while other requests of the connection run, because closing it would lose their answers. */
    getHeldBytes(): number {
        return this.options.hasOtherRequests() ? 0 : this.charge?.getBytes() ?? 0;
    }

    getProgressBytes(): number {
        return this.length;
    }

    /** Must be called when the exchange has ended. */
    release(): void {
        this.isReleased = true;
        this.options.memory.release(this);
        this.charge?.close();
        this.buffer = Buffer.alloc(0);
    }

    /** Closes the connection before the body is complete; the request is not executed. */
    close(): void {
        this.release();
        this.options.request.destroy();
    }

    private async readChunks(charge: MemoryCharge): Promise<Result<Uint8Array, Failure>> {
        const { maxBytes, memory, request, signal } = this.options;
        for await (const value of request.iterator({ destroyOnReturn: false })) {
            const chunk = value as Buffer;
            const length = this.length + chunk.length;
            if (length > maxBytes) {
                return err(createFailure(Code.RequestTooLarge));
            }
            if (length > this.buffer.length) {
                const capacity = findBodyCapacity(length, maxBytes);
                // A body that this daemon does not read cannot progress.
                memory.release(this);
                if (!(await memory.waitForBytes(charge, capacity - this.buffer.length, signal))) {
                    return this.refuse();
                }
                memory.register(this);
                this.setCapacity(capacity);
            }
            chunk.copy(this.buffer, this.length);
            memory.recordDropped(chunk.length);
            this.length = length;
        }
        return ok(this.buffer.subarray(0, this.length));
    }

    private setCapacity(capacity: number): void {
        const grown = Buffer.allocUnsafeSlow(capacity);
        this.buffer.copy(grown, 0, 0, this.length);
        this.options.memory.recordDropped(this.buffer.length);
        this.buffer = grown;
    }

    private refuse(): Result<never, Failure> {
        return err(createFailure(Code.MemoryShort, { retryAfterMs }));
    }
}
