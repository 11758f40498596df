import { err, ok, type Result } from "neverthrow";
import { createServer, type IncomingMessage, type RequestListener, type Server } from "node:http";
import { type AddressInfo, Server as NetServer, type Socket } from "node:net";
import { Code } from "../../core/code.ts";
import { createFailure } from "../../core/create_failure.ts";
import type { Failure } from "../../core/failure.ts";
import type { DrainableListener } from "../../lifecycle/drainable_listener.ts";
import { ConnectionReadLimiter } from "./connection_read_limiter.ts";
import { ServerConnection } from "./server_connection.ts";
import { splitAddress } from "./split_address.ts";

/** Longer than the keep-alive time of clients, so that no connection is closed while it is reused. */
const KEEP_ALIVE_TIMEOUT_MS = 75_000;
/** Headers of a caller (16 KB at most) grow by a third when daemons send them to each other in base64. */
const MAX_HEADER_BYTES = 65_536;

/** Most bytes of a request body, unless the listener sets a limit, as the interface for callers does. */
const MAX_BODY_BYTES = 67_108_864;

/** Milliseconds after which `close` destroys connections that are still open. */
const CLOSE_TIMEOUT_MS = 500;

interface Options {
    /** While true, requests pipelined behind an unanswered one are not handled. */
    readonly isDraining?: () => boolean;
    /** Most bytes of a request body. */
    readonly maxBodyBytes?: number;
}

/** An HTTP/1.1 server on one address. */
export class HttpListener implements DrainableListener {
    private readonly closePromise: Promise<void>;
    private readonly connections = new Set<ServerConnection>();
    private stopped = false;

    private constructor(
        private readonly server: Server,
        private readonly readLimiter: ConnectionReadLimiter,
    ) {
        server.on("connection", socket => {
            readLimiter.add(socket);
            const connection = ServerConnection.get(socket);
            this.connections.add(connection);
            socket.once("close", () => this.connections.delete(connection));
        });
        this.closePromise = new Promise(resolve => {
            server.once("close", resolve);
        });
    }

    /** Opens `address` (`host:port`). Fails with PortUnavailable. */
    static async open(
        address: string,
        handler: RequestListener,
        { isDraining = () => false, maxBodyBytes = MAX_BODY_BYTES }: Options = {},
    ): Promise<Result<HttpListener, Failure>> {
        // Covers a head, its separators and the empty lines before it.
        const readLimiter = new ConnectionReadLimiter({ maxHeadBytes: 2 * MAX_HEADER_BYTES, maxBodyBytes });
        const server = createServer({
            keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
            maxHeaderSize: MAX_HEADER_BYTES,
        }, (request, response) => {
            readLimiter.recordRequest(request.socket, response);
            if (ServerConnection.get(request.socket).addExchange(response, isDraining())) {
                handler(request, response);
            }
            else {
                request.resume();
            }
        });
        return new Promise(resolve => {
            server.once("error", error => {
                readLimiter.close();
                resolve(err(createFailure(Code.PortUnavailable, { detail: `${address}: ${error.message}` })));
            });
            server.listen(splitAddress(address), () => resolve(ok(new HttpListener(server, readLimiter))));
        });
    }

    /** Passes connections that switch their protocol to `handle`. */
    setUpgradeHandler(handle: (message: IncomingMessage, socket: Socket, head: Buffer) => void): void {
        this.server.on("upgrade", (message, socket, head) => {
            this.readLimiter.remove(message.socket);
            handle(message, socket as Socket, head);
        });
    }

    getPort(): number {
        return (this.server.address() as AddressInfo).port;
    }

    /**
     * Closes only the listening socket: `http.Server.close` would also close connections whose first request
     * has not been read yet. It runs right after the event loop has polled, when the accept queue is empty,
     * because the kernel resets connections that are still in that queue.
     */
    stop(): void {
        if (!this.stopped) {
            this.stopped = true;
            setImmediate(() => void NetServer.prototype.close.call(this.server));
        }
    }

    /** Waits for responses that are being sent, for a bounded time, and closes all connections. */
    async close(): Promise<void> {
        this.stop();
        this.connections.forEach(connection => connection.closeIdle());
        const timer = setTimeout(() => this.server.closeAllConnections(), CLOSE_TIMEOUT_MS);
        await this.closePromise;
        clearTimeout(timer);
        this.readLimiter.close();
    }
}
