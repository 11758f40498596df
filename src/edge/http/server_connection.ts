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

    private constructor(socket: Socket) {
        socket.once("close", () => this.running.forEach(exchange => exchange.close()));
    }

    static get(socket: Socket): ServerConnection {
        const connection = ServerConnection.known.get(socket) ?? new ServerConnection(socket);
        ServerConnection.known.set(socket, connection);
        return connection;
    }

    addExchange(response: ServerResponse): void {
        const exchange = new ServerExchange(response);
        this.running.add(exchange);
        exchange.handleEnd(() => this.running.delete(exchange));
    }
}
