import { createServer, type RequestListener } from "node:http";
import type { AddressInfo, Socket } from "node:net";

/** Opens a server on loopback that counts the bytes of all its connections. */
export async function openCountingServer(handler: RequestListener) {
    const sockets = new Set<Socket>();
    const server = createServer({ keepAliveTimeout: 75_000 }, handler);
    server.on("connection", (socket: Socket) => sockets.add(socket));
    await new Promise<void>(resolve => {
        server.listen(0, "127.0.0.1", resolve);
    });
    return {
        address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
        countConnections: () => sockets.size,
        /** Bytes above TCP that the server received and sent. */
        countBytes: () =>
            [...sockets].reduce((sum, socket) => sum + socket.bytesRead + socket.bytesWritten, 0),
        close: () =>
            new Promise<void>(resolve => {
                server.close(() => resolve());
                server.closeAllConnections();
            }),
    };
}
