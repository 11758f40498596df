/**
 * Limits the bytes that an upstream may send on a connection.
 *
 * The HTTP parser of undici counts the names and values of headers and the body. It does not count interim
 * responses, empty lines, the status line, spaces and chunk framing, so that an upstream could send those
 * until the time limit.
 *
 * @module
 */
import type { Socket } from "node:net";
import type { Readable } from "node:stream";
import { maxInterimResponses } from "../http/max_interim_responses.ts";
import type { AnswerMemoryLimiter } from "./answer_memory_limiter.ts";
import type { PendingAnswer } from "./pending_answer.ts";

/**
 * Most bytes of an answer without its body: 16 KB for the head, the same limit as for callers, and as much
 * again for interim responses and trailers.
 */
const maxHeadBytes = 32_768;
/** Most bytes that can be parsed between two checks: a full socket buffer and one read. */
const maxReadBytes = 131_072;
/** Most bytes of framing per byte of the body: a chunk of one byte has five. */
const maxFramingRatio = 5;

/**
 * Destroys the socket when the upstream sends more than an answer may take, or anything while no request is
 * pending.
 */
export class AnswerReadLimiter implements PendingAnswer {
    /**
     * Limit of the parser for header names and values. It is so high that this limiter acts first: undici
     * creates an error for each field beyond its limit, and 64 KB of short fields block the event loop for
     * 200 ms.
     */
    static readonly maxParserHeaderBytes = maxHeadBytes + maxReadBytes;

    private socket: Socket | undefined;
    private isAnswerPending = false;
    /** Bytes that were parsed on the socket before the current request. */
    private startBytes = 0;
    private allowedBytes = 0;
    private body: Readable | undefined;
    private interimResponses = 0;

    constructor(private readonly memoryLimiter: AnswerMemoryLimiter) {}

    /** Watches a new connection. */
    setSocket(socket: Socket): void {
        this.socket = socket;
        this.startBytes = 0;
        // Runs before the parser reads, because this listener is registered first.
        socket.on("readable", () => this.check(socket));
    }

    /** Starts to count the bytes of an answer. */
    open(): void {
        this.isAnswerPending = true;
        this.startBytes = this.socket === undefined ? 0 : countParsedBytes(this.socket);
        this.allowedBytes = maxHeadBytes;
        this.interimResponses = 0;
        this.body = undefined;
        this.memoryLimiter.register(this);
    }

    /** Sets the body whose bytes are added when they are read. */
    setBody(body: Readable): void {
        this.body = body;
    }

    addInterimResponse(): void {
        this.interimResponses += 1;
        if (this.interimResponses > maxInterimResponses) {
            this.socket?.destroy(new Error("the upstream sent too many interim responses"));
        }
    }

    /** Raises the limit by `bytes` of the body that have been read, and by their framing. */
    addBodyBytes(bytes: number): void {
        this.allowedBytes += bytes * (1 + maxFramingRatio);
        this.memoryLimiter.addBytes(this, bytes);
    }

    /** Aborts the answer, because it is the largest one and all answers together exceed their limit. */
    cancel(): void {
        this.socket?.destroy(new Error("the answers of all upstreams take too much memory"));
    }

    /** Allows no further bytes, because the answer is complete or aborted. */
    close(): void {
        this.isAnswerPending = false;
        this.body = undefined;
        this.memoryLimiter.release(this);
    }

    private check(socket: Socket): void {
        if (!this.isAnswerPending && socket.readableLength > 0) {
            socket.destroy(new Error("the upstream sent data while no request was pending"));
        }
        else if (
            this.isAnswerPending && countParsedBytes(socket) - this.startBytes > this.computeAllowedBytes()
        ) {
            socket.destroy(new Error("the upstream sent more bytes than its answer may take"));
        }
    }

    /** Includes bytes of the body that were parsed and wait to be read. */
    private computeAllowedBytes(): number {
        return this.allowedBytes + (this.body?.readableLength ?? 0) * (1 + maxFramingRatio);
    }
}

function countParsedBytes(socket: Socket): number {
    return socket.bytesRead - socket.readableLength;
}
