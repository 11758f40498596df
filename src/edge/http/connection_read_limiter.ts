import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { CallerLimits } from "../../config/caller_limits.ts";
import { ConnectionCloseCause } from "./connection_close_cause.ts";

/** Milliseconds between two checks; a peer at full speed sends about 100 MB in that time on loopback. */
const checkIntervalMs = 250;
/** Most bytes of framing per byte of a body: a chunk of one byte has five. */
const maxFramingRatio = 5;

/**
 * Least bytes of a request that arrive in the time for which a connection may be idle, about 1 KB a second. It
 * applies to bodies; clients within the limits of the configuration send at a thousand times that rate.
 */
const leastBodyBytes = 16_384;

interface Options {
    /** Most bytes from the end of one exchange until the head of the next request is complete. */
    readonly maxHeadBytes: number;
    /** Most bytes of a request body. */
    readonly maxBodyBytes: number;
    readonly getLimits: () => Pick<CallerLimits, "headerTimeoutMs" | "idleTimeoutMs">;
    /** Called before a connection is destroyed because its head or body takes too long. */
    readonly handleSlow?: (cause: ConnectionCloseCause) => void;
}

interface ConnectionState {
    startBytes: number;
    response: ServerResponse | undefined;
    /**
     * Checks in which the current head, or part of a body, was incomplete. Checks are counted in place of time, so
     * that bytes which arrived while the process was suspended are read before the connection counts as slow.
     */
    checks: number;
    /** Bytes that were read when the current part of a body began. */
    partStartBytes: number;
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
        this.states.set(socket, { startBytes: 0, response: undefined, checks: 0, partStartBytes: 0 });
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
            const { bytesRead } = socket;
            this.states.set(socket, {
                startBytes: bytesRead,
                response,
                checks: 0,
                partStartBytes: bytesRead,
            });
        }
    }

    private check(): void {
        const { maxBodyBytes, maxHeadBytes } = this.options;
        for (const [socket, state] of this.states) {
            const { response, startBytes } = state;
            const bodyBytes = response === undefined ? 0 : (1 + maxFramingRatio) * maxBodyBytes;
            if (socket.bytesRead - startBytes > maxHeadBytes + bodyBytes) {
                socket.destroy();
            }
            else if (
                response === undefined
                    ? this.isHeadSlow(socket, state)
                    : this.isBodySlow(socket, state)
            ) {
                this.options.handleSlow?.(
                    response === undefined ? ConnectionCloseCause.SlowHead : ConnectionCloseCause.SlowBody,
                );
                socket.destroy();
            }
        }
    }

    /** A connection without a byte may be idle; Node.js closes idle connections that were used before. */
    private isHeadSlow(socket: Socket, state: ConnectionState): boolean {
        const { headerTimeoutMs, idleTimeoutMs } = this.options.getLimits();
        if (socket.bytesRead === state.startBytes && state.startBytes > 0) {
            return false;
        }
        const hasBegun = socket.bytesRead > state.startBytes;
        if (hasBegun && state.partStartBytes === state.startBytes) {
            // The time for a head counts from its first byte.
            state.partStartBytes = socket.bytesRead;
            state.checks = 0;
        }
        state.checks += 1;
        const limitMs = hasBegun ? headerTimeoutMs : idleTimeoutMs;
        return state.checks * checkIntervalMs > limitMs;
    }

    private isBodySlow(socket: Socket, state: ConnectionState): boolean {
        if (state.response?.req.complete !== false) {
            return false;
        }
        state.checks += 1;
        if (state.checks * checkIntervalMs <= this.options.getLimits().idleTimeoutMs) {
            return false;
        }
        const isSlow = socket.bytesRead - state.partStartBytes < leastBodyBytes;
        state.checks = 0;
        state.partStartBytes = socket.bytesRead;
        return isSlow;
    }
}
