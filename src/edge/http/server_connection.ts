import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { ServerExchange } from "./server_exchange.ts";

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

    private constructor(socket: Socket) {
        socket.once("close", () => this.running.forEach(exchange => exchange.close()));
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
}
