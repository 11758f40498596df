/**
 * TCP relay that can drop the bytes of one direction, as a partial network failure does.
 *
 * @example
 * ```ts
 * const link = await Link.open("127.0.0.1:7001");
 * link.setMode(LinkMode.DropReplies);
 * ```
 *
 * @module
 */
import { type AddressInfo, connect, createServer, type Server, type Socket } from "node:net";
import { LinkMode } from "./link_mode.ts";

/** Listens on a port of its own and relays each connection to the target. */
export class Link {
    private mode: LinkMode = LinkMode.Open;
    private readonly sockets = new Set<Socket>();

    private constructor(private readonly server: Server) {}

    static async open(target: string): Promise<Link> {
        const [host, port] = target.split(":");
        const server = createServer();
        const link = new Link(server);
        server.on("connection", client => link.addConnection(client, connect(Number(port), host)));
        await new Promise<void>(resolve => void server.listen(0, "127.0.0.1", () => resolve()));
        return link;
    }

    getAddress(): string {
        return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
    }

    /** `Open` resets all connections, as they may have lost bytes; TCP too would reset them in the end. */
    setMode(mode: LinkMode): void {
        this.mode = mode;
        if (mode === LinkMode.Open) {
            this.sockets.forEach(socket => socket.resetAndDestroy());
        }
    }

    async close(): Promise<void> {
        const closed = new Promise(resolve => this.server.close(resolve));
        this.sockets.forEach(socket => socket.destroy());
        await closed;
    }

    private addConnection(client: Socket, server: Socket): void {
        this.pipe(client, server, LinkMode.DropRequests);
        this.pipe(server, client, LinkMode.DropReplies);
    }

    private pipe(from: Socket, to: Socket, droppingMode: LinkMode): void {
        this.sockets.add(from);
        from.on("data", chunk => void (this.mode !== droppingMode && to.write(chunk)));
        from.once("close", () => {
            this.sockets.delete(from);
            to.destroy();
        });
        from.on("error", () => undefined);
    }
}
