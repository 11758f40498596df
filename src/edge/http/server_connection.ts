import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { ServerExchange } from "./server_exchange.ts";

/** Milliseconds in which a peer closes its end; a round trip between regions takes up to 40 ms. */
const lingerTimeoutMs = 1_000;

/**
 * The requests of one connection that are not answered. Node.js announces the end of a connection only to the response
 * that it is writing; those of pipelined requests, which wait behind that one, would never end.
 */
export class ServerConnection {
    private static readonly bySocket = new WeakMap<Socket, ServerConnection>();
    private readonly running = new Set<ServerExchange>();
    private latestResponse: ServerResponse | undefined;
    /** True when the connection closes after the requests that have been handed on. */
    private closing = false;

    private constructor(private readonly socket: Socket) {
        socket.once("close", () => this.running.forEach(exchange => exchange.close()));
        // Node.js calls this after the answer that closes the connection.
        socket.destroySoon = () => this.close();
    }

    static get(socket: Socket): ServerConnection {
        const connection = ServerConnection.bySocket.get(socket) ?? new ServerConnection(socket);
        ServerConnection.bySocket.set(socket, connection);
        return connection;
    }

    /**
     * False for a request that must not be handed on, because the connection closes before its answer. Its peer sends it
     * again. While the server drains, that holds for each request behind an unanswered one: its answer could not be sent
     * before that one's, which may take until the process ends.
     */
    addExchange(response: ServerResponse, isDraining: boolean): boolean {
        if (isDraining && this.running.size > 0) {
            this.closeWhenIdle();
        }
        if (this.closing) {
            return false;
        }
        this.latestResponse = response;
        const exchange = new ServerExchange(response, () => {
            this.closing ||= this.latestResponse === response;
            return this.latestResponse === response;
        });
        this.running.add(exchange);
        exchange.addEndListener(() => {
            this.running.delete(exchange);
            if (this.closing) {
                this.closeIdle();
            }
        });
        return true;
    }

    /** Closes the connection after the requests that have been handed on, and announces it if that is still possible. */
    private closeWhenIdle(): void {
        this.closing = true;
        if (this.latestResponse?.headersSent === false) {
            this.latestResponse.setHeader("connection", "close");
        }
    }

    /** Closes the connection if it has been used and all its requests are answered. */
    closeIdle(): void {
        if (this.latestResponse !== undefined && this.running.size === 0 && this.socket.writable) {
            this.close();
        }
    }

    /**
     * Ends the own direction and reads on until the peer has ended its own (RFC 9112, section 9.6). The kernel resets a
     * connection that is closed with unread bytes, and drops what the peer has not received.
     */
    private close(): void {
        this.closing = true;
        this.socket.end();
        const timer = setTimeout(() => this.socket.destroy(), lingerTimeoutMs);
        this.socket.once("close", () => clearTimeout(timer));
    }
}
