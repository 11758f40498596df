import type { Transport } from "@connectrpc/connect";
import { createConnectTransport } from "@connectrpc/connect-node";
import { Agent } from "node:http";

/** Control messages are small and rare; two connections keep a slow response from delaying a revocation. */
const CONNECTIONS_PER_PEER = 2;

/** Transports of control messages by address; all share one keep-alive agent. */
export class TransportCache {
    private readonly agent = new Agent({ keepAlive: true, maxSockets: CONNECTIONS_PER_PEER });
    private readonly transports = new Map<string, Transport>();

    get(address: string): Transport {
        let transport = this.transports.get(address);
        if (transport === undefined) {
            transport = createConnectTransport({
                baseUrl: `http://${address}`,
                httpVersion: "1.1",
                nodeOptions: { agent: this.agent },
                useBinaryFormat: true,
            });
            this.transports.set(address, transport);
        }
        return transport;
    }

    close(): void {
        this.agent.destroy();
    }
}
