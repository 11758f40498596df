import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";

/** Milliseconds between two checks; a peer at full speed writes some 100 MB in that time on loopback. */
const checkIntervalMs = 250;
/** Bytes of framing for each byte of a body: a chunk of one byte takes five. */
const maxFramingRatio = 5;

interface Options {
    /** Bytes from an answered and complete request to the next one, which is read as soon as its head is whole. */
    readonly maxHeadBytes: number;
    /** Bytes of the body of a request. */
    readonly maxBodyBytes: number;
}

interface ConnectionState {
    startBytes: number;
    response: ServerResponse | undefined;
}

/**
 * Destroys connections of an HTTP server that read without end. The parser of Node.js bounds headers and chunk extensions;
 * empty lines, spaces and the zeros of a chunk size pass it uncounted.
 */
export class ConnectionReadLimiter {
    private readonly states = new Map<Socket, ConnectionState>();
    private readonly timer: NodeJS.Timeout;

    constructor(private readonly options: Options) {
        this.timer = setInterval(() => this.check(), checkIntervalMs);
        this.timer.unref();
    }

    /** Watches a connection until it closes. */
    add(socket: Socket): void {
        this.states.set(socket, { startBytes: 0, response: undefined });
        socket.once("close", () => this.states.delete(socket));
    }

    /** Ends the watch of a connection that changes its protocol. */
    remove(socket: Socket): void {
        this.states.delete(socket);
    }

    /** The head of the request to which `response` belongs has been read. */
    recordRequest(socket: Socket, response: ServerResponse): void {
        this.setState(socket, response);
        const recordEnd = (): void => {
            if (this.states.get(socket)?.response === response) {
                this.setState(socket, undefined);
            }
        };
        const { req: request } = response;
        response.once("close", () => {
            if (request.complete) {
                recordEnd();
            }
            else {
                // The rest of the body may follow an early answer; a caller whose write fails does not read that answer.
                request.once("end", recordEnd);
            }
        });
    }

    close(): void {
        clearInterval(this.timer);
    }

    private setState(socket: Socket, response: ServerResponse | undefined): void {
        if (this.states.has(socket)) {
            this.states.set(socket, { startBytes: socket.bytesRead, response });
        }
    }

    private check(): void {
        const { maxBodyBytes, maxHeadBytes } = this.options;
        for (const [socket, { response, startBytes }] of this.states) {
            const bodyBytes = response === undefined ? 0 : (1 + maxFramingRatio) * maxBodyBytes;
            if (socket.bytesRead - startBytes > maxHeadBytes + bodyBytes) {
                socket.destroy();
            }
        }
    }
}
