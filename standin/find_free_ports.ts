import { randomInt } from "node:crypto";
import { createServer, type Server } from "node:net";

/**
 * Ports below the ranges from which Linux (32768) and other systems (49152) take the local ports of outgoing
 * connections. A port of those ranges can be taken between this call and its use by a daemon.
 */
const firstPort = 16_384;
const endPort = 32_768;

/** Returns loopback ports that were free during the call and that no outgoing connection takes. */
export async function findFreePorts(count: number): Promise<readonly number[]> {
    const servers = new Map<number, Server>();
    while (servers.size < count) {
        const port = randomInt(firstPort, endPort);
        const server = servers.has(port) ? undefined : await openServer(port);
        if (server !== undefined) {
            servers.set(port, server);
        }
    }
    await Promise.all([...servers.values()].map(server => new Promise(resolve => server.close(resolve))));
    return [...servers.keys()];
}

/** Resolves to undefined when the port is in use. */
function openServer(port: number): Promise<Server | undefined> {
    return new Promise(resolve => {
        const server = createServer();
        server.once("error", () => resolve(undefined));
        server.listen(port, "127.0.0.1", () => resolve(server));
    });
}
