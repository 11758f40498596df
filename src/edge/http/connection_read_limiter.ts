import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";

/** Milliseconds between two checks; a peer at full speed sends about 100 MB in that time on loopback. */
const checkIntervalMs = 250;
/** Most bytes of framing per byte of a body: a chunk of one byte has five. */
const maxFramingRatio = 5;

interface Options {
    /** Most bytes from the end of one exchange until the head of the next request is complete. */
    readonly maxHeadBytes: number;
    /** Most bytes of a request body. */
    readonly maxBodyBytes: number;
}

interface ConnectionState {
    startBytes: number;
    response: ServerResponse | undefined;
}

/**
 * Destroys connections of an HTTP server on which a peer sends endless input. The parser of Node.js limits
 * headers and chunk extensions; it does not count empty lines, spaces and leading zeros of a chunk size.
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

    /** Stops watching a connection that switches its protocol. */
    remove(socket: Socket): void {
        this.states.delete(socket);
    }

    /** Records that the head of the request that `response` answers has been read. */
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
                // The rest of the body may follow an early answer, and must be accepted: a caller whose write
                // fails does not read that answer.
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
