import { err, ok, type Result } from "neverthrow";
import { createServer, type IncomingMessage, type RequestListener, type Server } from "node:http";
import { type AddressInfo, Server as NetServer, type Socket } from "node:net";
import type { CallerLimits } from "../../config/caller_limits.ts";
import { defaultCallerLimits } from "../../config/default_caller_limits.ts";
import { Code } from "../../core/code.ts";
import { createFailure } from "../../core/create_failure.ts";
import type { Failure } from "../../core/failure.ts";
import type { DrainableListener } from "../../lifecycle/drainable_listener.ts";
import { BodyPartLimiter } from "./body_part_limiter.ts";
import { closeInvalidConnection } from "./close_invalid_connection.ts";
import { ConnectionCloseCause } from "./connection_close_cause.ts";
import { ConnectionReadLimiter } from "./connection_read_limiter.ts";
import { MergingMessage } from "./merging_message.ts";
import { PipeliningLimiter } from "./pipelining_limiter.ts";
import { selectSurplusConnection } from "./select_surplus_connection.ts";
import { ServerConnection } from "./server_connection.ts";
import { ServerExchange } from "./server_exchange.ts";
import { splitAddress } from "./split_address.ts";

/** Most bytes of a head that any configuration allows. */
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
    /** Limits in force; those of `defaultCallerLimits` when absent. */
    readonly getLimits?: () => CallerLimits;
    /**
     * Beyond it, connections without a running request are closed for new ones, and those that send requests ahead of
     * their answers when as many requests are not answered.
     */
    readonly maxConnections?: number;
    /** Called when a connection is closed because of a limit. */
    readonly handleClosed?: (cause: ConnectionCloseCause) => void;
}

/** An HTTP/1.1 server on one address. */
export class HttpListener implements DrainableListener {
    private readonly closePromise: Promise<void>;
    private readonly connections = new Set<ServerConnection>();
    private stopped = false;

    private constructor(
        private readonly server: Server,
        private readonly readLimiter: ConnectionReadLimiter,
        { getLimits = () => defaultCallerLimits, handleClosed, maxConnections = Infinity }: Options,
    ) {
        // Before the listener of the server, which reads the limits for the new connection.
        server.prependListener("connection", () => setLimits(server, getLimits()));
        server.on("connection", socket => {
            readLimiter.add(socket);
            const connection = ServerConnection.get(socket);
            if (this.connections.size >= maxConnections) {
                const surplus = selectSurplusConnection(this.connections) ?? connection;
                handleClosed?.(ConnectionCloseCause.Surplus);
                this.connections.delete(surplus);
                surplus.cancel();
            }
            if (!socket.destroyed) {
                this.connections.add(connection);
                socket.once("close", () => this.connections.delete(connection));
            }
        });
        server.on("request", ({ socket }, response) => {
            response.once("close", () => this.recordUse(ServerConnection.get(socket)));
        });
        this.closePromise = new Promise(resolve => {
            server.once("close", resolve);
        });
    }

    /** Opens `address` (`host:port`). Fails with PortUnavailable. */
    static async open(
        address: string,
        handler: RequestListener,
        options: Options = {},
    ): Promise<Result<HttpListener, Failure>> {
        const { getLimits = () => defaultCallerLimits, handleClosed, isDraining = () => false } = options;
        const { maxBodyBytes = MAX_BODY_BYTES } = options;
        // Covers a head, its separators and the empty lines before it.
        const readLimiter = new ConnectionReadLimiter({
            maxHeadBytes: 2 * MAX_HEADER_BYTES,
            maxBodyBytes,
            getLimits,
            ...handleClosed === undefined ? {} : { handleSlow: handleClosed },
        });
        const pipelining = new PipeliningLimiter(options.maxConnections ?? Infinity);
        const server = createServer({ IncomingMessage: MergingMessage }, (request, response) => {
            if (request.socket.destroyed) {
                // One read can hold further requests of a connection that was closed for an earlier one.
                return;
            }
            readLimiter.recordRequest(request.socket, response);
            const connection = ServerConnection.get(request.socket);
            if (!pipelining.isAllowed(connection.countRunning())) {
                handleClosed?.(ConnectionCloseCause.Pipelined);
                connection.cancel();
            }
            else if (connection.addExchange(response, isDraining())) {
                if (request.headers["transfer-encoding"] !== undefined) {
                    request.mergeParts(new BodyPartLimiter(), () => {
                        handleClosed?.(ConnectionCloseCause.SmallParts);
                        connection.cancel();
                    });
                }
                pipelining.add();
                ServerExchange.get(response).addEndListener(() => pipelining.remove());
                connection.startRequest(response, () => handler(request, response));
            }
            else {
                request.resume();
            }
        });
        server.on("clientError", closeInvalidConnection);
        return new Promise(resolve => {
            server.once("error", error => {
                readLimiter.close();
                resolve(err(createFailure(Code.PortUnavailable, { detail: `${address}: ${error.message}` })));
            });
            server.listen(
                splitAddress(address),
                () => resolve(ok(new HttpListener(server, readLimiter, options))),
            );
        });
    }

    /** Keeps the connections in the order of their last use, in which surplus ones are closed. */
    private recordUse(connection: ServerConnection): void {
        if (this.connections.delete(connection)) {
            this.connections.add(connection);
        }
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

/** The server uses them for connections that are opened later; its time for idle ones also for open ones. */
function setLimits(server: Server, { idleTimeoutMs, maxHeaderBytes }: CallerLimits): void {
    server.keepAliveTimeout = idleTimeoutMs;
    (server as Server & { maxHeaderSize: number; }).maxHeaderSize = maxHeaderBytes;
}
