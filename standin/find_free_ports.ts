import { createServer } from "node:net";
import type { AddressInfo } from "node:net";

/** Returns loopback ports that were free during the call; another process may take one before its use. */
export async function findFreePorts(count: number): Promise<readonly number[]> {
    const servers = await Promise.all(
        Array.from({ length: count }, () =>
            new Promise<ReturnType<typeof createServer>>(resolve => {
                const server = createServer();
                server.listen(0, "127.0.0.1", () => resolve(server));
            })),
    );
    const ports = servers.map(server => (server.address() as AddressInfo).port);
    await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))));
    return ports;
}
