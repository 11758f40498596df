import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { ConnectionPhase } from "./connection_phase.ts";
import { ServerExchange } from "./server_exchange.ts";

/** Milliseconds to wait for the peer to close its side; a round trip between regions takes up to 40 ms. */
const lingerTimeoutMs = 1_000;

/** Requests of one connection that are handled at the same time; their answers are sent one after the other. */
const maxHandledRequests = 8;

/**
 * The unanswered requests of one connection. When a connection closes, Node.js emits `close` only on the
 * response that it is writing; the exchanges of requests pipelined behind that one would never end.
 */
export class ServerConnection {
    private static readonly bySocket = new WeakMap<Socket, ServerConnection>();
    private readonly running = new Set<ServerExchange>();
    /** Undefined between requests: a response retains the answer that it has sent. */
    private latestResponse: ServerResponse | undefined;
    private hasBeenUsed = false;
    /** Starts the requests that wait until fewer are handled. */
    private readonly pendingStarts: (() => void)[] = [];
    private handledRequests = 0;
    private hasStartedPending = false;
    /** True when the connection closes after the requests that are being handled. */
    private closing = false;

    private constructor(private readonly socket: Socket) {
        socket.once("close", () => {
            this.pendingStarts.splice(0);
            this.running.forEach(exchange => exchange.close());
        });
        // Node.js calls this after an answer with `connection: close`.
        socket.destroySoon = () => this.close();
    }

    static get(socket: Socket): ServerConnection {
        const connection = ServerConnection.bySocket.get(socket) ?? new ServerConnection(socket);
        ServerConnection.bySocket.set(socket, connection);
        return connection;
    }

    /**
     * Registers a request. Returns false when it must not be handled, because the connection closes before
     * its answer; the peer sends it again. While the server drains, that holds for each request behind an
     * unanswered one: its answer could not be sent before that one's, which may take until the process ends.
     */
    addExchange(response: ServerResponse, isDraining: boolean): boolean {
        if (isDraining && this.running.size > 0) {
            this.closeWhenIdle();
        }
        if (this.closing) {
            return false;
        }
        this.latestResponse = response;
        this.hasBeenUsed = true;
        const exchange = new ServerExchange(response, () => {
            this.closing ||= this.latestResponse === response;
            return this.latestResponse === response;
        });
        this.running.add(exchange);
        exchange.addEndListener(() => {
            this.running.delete(exchange);
            if (this.running.size === 0) {
                this.latestResponse = undefined;
            }
            if (this.closing) {
                this.closeIdle();
            }
        });
        return true;
    }

    /** Calls `handle` for a request that was added, or later while many earlier ones of the connection are handled. */
    startRequest(response: ServerResponse, handle: () => void): void {
        const start = (): void => {
            this.handledRequests += 1;
            ServerExchange.get(response).addEndListener(() => {
                this.handledRequests -= 1;
                this.startPending();
            });
            handle();
        };
        if (this.handledRequests < maxHandledRequests && this.pendingStarts.length === 0) {
            start();
        }
        else {
            this.pendingStarts.push(start);
        }
    }

    /** Starts one pending request in each turn of the event loop, so that other connections are served in between. */
    private startPending(): void {
        if (this.hasStartedPending || this.pendingStarts.length === 0) {
            return;
        }
        this.hasStartedPending = true;
        setImmediate(() => {
            this.hasStartedPending = false;
            if (this.handledRequests < maxHandledRequests) {
                this.pendingStarts.shift()?.();
                this.startPending();
            }
        });
    }

    /**
     * Closes the connection after the requests that are being handled, and announces that in the last answer
     * if its head has not been sent.
     */
    private closeWhenIdle(): void {
        this.closing = true;
        if (this.latestResponse?.headersSent === false) {
            this.latestResponse.setHeader("connection", "close");
        }
    }

    getPhase(): ConnectionPhase {
        if (!this.hasBeenUsed) {
            return ConnectionPhase.Unused;
        }
        if (this.latestResponse === undefined) {
            return ConnectionPhase.Idle;
        }
        if (this.running.size > 1) {
            return ConnectionPhase.Running;
        }
        const { headersSent, req: request } = this.latestResponse;
        if (headersSent) {
            return ConnectionPhase.Answering;
        }
        return request.complete ? ConnectionPhase.Running : ConnectionPhase.Reading;
    }

    /** Closes the connection at once. */
    cancel(): void {
        this.socket.destroy();
    }

    /** Requests that are being handled, answered ones behind an unanswered one included. */
    countRunning(): number {
        return this.running.size;
    }

    /** True for the exchange whose answer is sent next. */
    isFirst(exchange: ServerExchange): boolean {
        const [first] = this.running;
        return first === exchange;
    }

    /** Closes the connection if it has been used and all its requests are answered. */
    closeIdle(): void {
        if (this.hasBeenUsed && this.running.size === 0 && this.socket.writable) {
            this.close();
        }
    }

    /**
     * Closes the sending side and reads until the peer has closed its own (RFC 9112, section 9.6). The kernel
     * resets a connection that is closed with unread bytes, and drops what the peer has not received.
     */
    private close(): void {
        this.closing = true;
        this.socket.end();
        const timer = setTimeout(() => this.socket.destroy(), lingerTimeoutMs);
        this.socket.once("close", () => clearTimeout(timer));
    }
}
