/**
 * Raw TCP server that sends endless answers, to test that clients limit what they read.
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
    /** Written once, when a connection receives its first bytes. */
    readonly prefix?: string;
    /** Written repeatedly after the prefix, until the peer closes the connection or a maximum is reached. */
    readonly unit: string;
    /** Approximate size of one write; a write holds whole units and at least one. */
    readonly writeBytes?: number;
    /** Pause after each write in milliseconds. */
    readonly pauseMs?: number;
    /** Delay between the prefix and the first unit in milliseconds. */
    readonly delayMs?: number;
    /** Bytes after which the server closes the connection. */
    readonly maxBytes?: number;
    /** Milliseconds after which the server closes the connection. */
    readonly maxMs?: number;
    /** Number of connections that are flooded; later ones are answered with `laterAnswer`. */
    readonly floodedConnections?: number;
    /** Written for each chunk received on a later connection; without it nothing is written. */
    readonly laterAnswer?: string;
}

interface FloodEnd {
    /** Bytes that the server passed to the socket after the prefix. */
    readonly writtenBytes: number;
    /** Milliseconds from the first unit to the close of the connection. */
    readonly elapsedMs: number;
    /** False when the server reached `maxBytes` or `maxMs` first. */
    readonly closedByPeer: boolean;
}

const defaultWriteBytes = 16_384;
const defaultMaxBytes = 67_108_864;
const defaultMaxMs = 5_000;

/** Waits for the socket to drain after each write, so that kernel buffers bound the bytes in flight. */
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

    /** Resolves when the first flooded connection ends. */
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
