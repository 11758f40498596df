/**
 * Bound on the bytes that an upstream may write on a connection.
 *
 * The HTTP parser of undici counts names and values of headers and the body. Interim responses, empty lines, the status
 * line, spaces and the framing of chunks pass it uncounted, so that an upstream could write them until the time limit.
 *
 * @module
 */
import type { Socket } from "node:net";
import { maxInterimResponses } from "../http/max_interim_responses.ts";
import type { AnswerMemoryLimiter } from "./answer_memory_limiter.ts";
import type { PendingAnswer } from "./pending_answer.ts";

/**
 * Bytes of an answer that are not its body: 16 KB for the head, as callers may send it, and as much again for interim
 * responses and trailers.
 */
const maxHeadBytes = 32_768;
/** Bytes that can be parsed between two checks: a full buffer of the socket and one read. */
const maxReadBytes = 131_072;
/** Bytes of framing for each byte of the body: a chunk of one byte takes five. */
const maxFramingRatio = 5;

/** Destroys the socket when the upstream writes more than an answer can take, or anything while no request waits. */
export class AnswerReadLimiter implements PendingAnswer {
    /**
     * Bytes of header names and values for the parser, which the budget reaches first: undici creates an error for each
     * field beyond its limit, and 64 KB of short ones hold the event loop for 200 ms.
     */
    static readonly maxParserHeaderBytes = maxHeadBytes + maxReadBytes;

    private socket: Socket | undefined;
    private isAnswerPending = false;
    /** Bytes that were parsed on the socket before the request. */
    private startBytes = 0;
    private allowedBytes = 0;
    private interimResponses = 0;

    constructor(private readonly memoryLimiter: AnswerMemoryLimiter) {}

    /** Watches a new connection. */
    setSocket(socket: Socket): void {
        this.socket = socket;
        this.startBytes = 0;
        // Runs before the parser reads, because this listener is the first one.
        socket.on("readable", () => this.check(socket));
    }

    /** Begins to count the bytes of an answer. */
    open(): void {
        this.isAnswerPending = true;
        this.startBytes = this.socket === undefined ? 0 : countParsedBytes(this.socket);
        this.allowedBytes = maxHeadBytes;
        this.interimResponses = 0;
        this.memoryLimiter.register(this);
    }

    addInterimResponse(): void {
        this.interimResponses += 1;
        if (this.interimResponses > maxInterimResponses) {
            this.socket?.destroy(new Error("the upstream wrote too many interim responses"));
        }
    }

    /** Allows `bytes` of the body that have been read, with their framing. */
    addBodyBytes(bytes: number): void {
        this.allowedBytes += bytes * (1 + maxFramingRatio);
        this.memoryLimiter.addBytes(this, bytes);
    }

    /** Gives the answer up, because it holds most of the memory that all answers share. */
    cancel(): void {
        this.socket?.destroy(new Error("the answers of all upstreams take too much memory"));
    }

    /** Allows no further bytes, because the answer is complete or given up. */
    close(): void {
        this.isAnswerPending = false;
        this.memoryLimiter.release(this);
    }

    private check(socket: Socket): void {
        if (!this.isAnswerPending && socket.readableLength > 0) {
            socket.destroy(new Error("the upstream wrote although no request waits"));
        }
        else if (this.isAnswerPending && countParsedBytes(socket) - this.startBytes > this.allowedBytes) {
            socket.destroy(new Error("the upstream wrote more bytes than its answer can take"));
        }
    }
}

function countParsedBytes(socket: Socket): number {
    return socket.bytesRead - socket.readableLength;
}
