/**
 * Raw TCP server whose answers do not end.
 *
 * @example
 * ```ts
 * const server = await FloodingServer.open({ unit: "\r\n" });
 * const { writtenBytes } = await server.waitForEnd();
 * await server.close();
 * ```
 *
 * @module
 */
import { createServer, type Server, type Socket } from "node:net";
import { setTimeout as wait } from "node:timers/promises";

interface Options {
    /** Written once, when the first bytes of a connection arrive. */
    readonly prefix?: string;
    /** Written after the prefix, again and again, until the peer closes. */
    readonly unit: string;
    /** Bytes of one write. */
    readonly writeBytes?: number;
    /** Milliseconds between two writes. */
    readonly pauseMs?: number;
    /** Milliseconds between the prefix and the first unit. */
    readonly delayMs?: number;
    /** Bytes after which the server gives up. */
    readonly maxBytes?: number;
    /** Milliseconds after which the server gives up. */
    readonly maxMs?: number;
    /** Number of connections that are flooded; later ones get `laterAnswer`. */
    readonly floodedConnections?: number;
    readonly laterAnswer?: string;
}

interface FloodEnd {
    /** Bytes that the server handed to its sockets after the prefix. */
    readonly writtenBytes: number;
    /** Milliseconds from the first unit to the end of the connection. */
    readonly elapsedMs: number;
    /** False when the server gave up first. */
    readonly closedByPeer: boolean;
}

const defaultWriteBytes = 16_384;
const defaultMaxBytes = 67_108_864;
const defaultMaxMs = 5_000;

/** Each write waits for the socket to drain, so that the bytes in flight are bounded by the buffers of the kernel. */
export class FloodingServer {
    private readonly sockets = new Set<Socket>();
    private readonly firstEnd: Promise<FloodEnd>;
    private resolveFirstEnd: (end: FloodEnd) => void = () => undefined;
    private connectionCount = 0;

    private constructor(private readonly server: Server, private readonly options: Options) {
        this.firstEnd = new Promise(resolve => {
            this.resolveFirstEnd = resolve;
        });
        server.on("connection", (socket: Socket) => this.handleConnection(socket));
    }

    static async open(options: Options): Promise<FloodingServer> {
        const server = createServer();
        const result = new FloodingServer(server, options);
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        return result;
    }

    getPort(): number {
        return (this.server.address() as { port: number; }).port;
    }

    countConnections(): number {
        return this.connectionCount;
    }

    /** The end of the first flood. */
    waitForEnd(): Promise<FloodEnd> {
        return this.firstEnd;
    }

    async close(): Promise<void> {
        this.sockets.forEach(socket => socket.destroy());
        await new Promise(resolve => this.server.close(resolve));
    }

    private handleConnection(socket: Socket): void {
        const { floodedConnections = 1, laterAnswer } = this.options;
        this.connectionCount += 1;
        const isFlooded = this.connectionCount <= floodedConnections;
        this.sockets.add(socket);
        socket.on("error", () => socket.destroy());
        socket.once("close", () => this.sockets.delete(socket));
        if (isFlooded) {
            socket.once("data", () => void this.writeFlood(socket));
            socket.resume();
        }
        else if (laterAnswer !== undefined) {
            socket.on("data", () => socket.write(laterAnswer));
        }
    }

    private async writeFlood(socket: Socket): Promise<void> {
        const { delayMs = 0, maxBytes = defaultMaxBytes, pauseMs, prefix = "", unit } = this.options;
        const { maxMs = defaultMaxMs, writeBytes = defaultWriteBytes } = this.options;
        socket.write(prefix);
        if (delayMs > 0) {
            await wait(delayMs);
        }
        const startMs = performance.now();
        const chunk = Buffer.from(unit.repeat(Math.max(1, Math.floor(writeBytes / unit.length))));
        let writtenBytes = 0;
        while (!socket.destroyed && writtenBytes < maxBytes && performance.now() - startMs < maxMs) {
            writtenBytes += chunk.length;
            if (!socket.write(chunk)) {
                await waitForDrain(socket);
            }
            if (pauseMs !== undefined) {
                await wait(pauseMs);
            }
        }
        const closedByPeer = socket.destroyed;
        socket.destroy();
        this.resolveFirstEnd({ writtenBytes, elapsedMs: performance.now() - startMs, closedByPeer });
    }
}

function waitForDrain(socket: Socket): Promise<void> {
    return new Promise(resolve => {
        const handleEnd = (): void => {
            socket.off("drain", handleEnd);
            socket.off("close", handleEnd);
            resolve();
        };
        socket.once("drain", handleEnd);
        socket.once("close", handleEnd);
    });
}
