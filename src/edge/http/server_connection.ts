import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { ServerExchange } from "./server_exchange.ts";

/** Milliseconds in which a peer closes its end; a round trip between regions takes up to 40 ms. */
const lingerMs = 1_000;

/**
 * The requests of one connection that are not answered. Node.js announces the end of a connection only to the response
 * that it is writing; those of pipelined requests, which wait behind that one, would never end.
 */
export class ServerConnection {
    private static readonly known = new WeakMap<Socket, ServerConnection>();
    private readonly running = new Set<ServerExchange>();
    private newest: ServerResponse | undefined;
    /** True when an answer that closes the connection is ready. */
    private closing = false;

    private constructor(private readonly socket: Socket) {
        socket.once("close", () => this.running.forEach(exchange => exchange.close()));
        // Node.js calls this after the answer that closes the connection.
        socket.destroySoon = () => this.close();
    }

    static get(socket: Socket): ServerConnection {
        const connection = ServerConnection.known.get(socket) ?? new ServerConnection(socket);
        ServerConnection.known.set(socket, connection);
        return connection;
    }

    /**
     * False for a request behind an answer that closes the connection. It will not be answered and its peer sends it
     * again, so it must not be handed on.
     */
    addExchange(response: ServerResponse): boolean {
        if (this.closing) {
            return false;
        }
        this.newest = response;
        const exchange = new ServerExchange(response, () => {
            this.closing ||= this.newest === response;
            return this.newest === response;
        });
        this.running.add(exchange);
        exchange.handleEnd(() => this.running.delete(exchange));
        return true;
    }

    /** Closes the connection if it has been used and all its requests are answered. */
    closeIdle(): void {
        if (this.newest !== undefined && this.running.size === 0 && this.socket.writable) {
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
        const timer = setTimeout(() => this.socket.destroy(), lingerMs);
        this.socket.once("close", () => clearTimeout(timer));
    }
}
