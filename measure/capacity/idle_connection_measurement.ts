import { Agent, request } from "node:http";
import { measureHeapBytes } from "./measure_heap_bytes.ts";
import { openCountingServer } from "./open_counting_server.ts";
import type { SlopeMeasurement } from "./slope_measurement.ts";

/** Idle HTTP keep-alive connections, each with its client and server sockets in this process. */
export class IdleConnectionMeasurement implements SlopeMeasurement {
    readonly name = "Idle connections";
    readonly sizeUnit = "connections with both ends";
    readonly sizes = [50, 100, 200];
    readonly target = 300;

    async measure(count: number): Promise<Readonly<Record<string, number>>> {
        const server = await openCountingServer((_, response) => {
            setTimeout(() => response.end("ok"), 50);
        });
        const agent = new Agent({ keepAlive: true });
        const { bytes } = await measureHeapBytes(async () => {
            await Promise.all(Array.from({ length: count }, () => sendGet(server.address, agent)));
            return agent;
        });
        if (server.countConnections() !== count) {
            throw new Error(`${server.countConnections()} connections instead of ${count}`);
        }
        agent.destroy();
        await server.close();
        // Sockets of closed connections are released in later turns of the event loop.
        await new Promise(resolve => setTimeout(resolve, 200));
        return { "heap, bytes": bytes };
    }
}

function sendGet(address: string, agent: Agent): Promise<void> {
    return new Promise((resolve, reject) => {
        request(`http://${address}/`, { agent }, response => {
            response.resume();
            response.once("end", resolve);
        }).once("error", reject).end();
    });
}
