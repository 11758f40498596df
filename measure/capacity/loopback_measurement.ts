import { ConnectPeerControlClient } from "../../src/edge/control/connect_peer_control_client.ts";
import { TransportCache } from "../../src/edge/control/transport_cache.ts";
import { createControlListener } from "./create_control_listener.ts";
import { measureProcessorUs } from "./measure_processor_us.ts";
import { openCountingServer } from "./open_counting_server.ts";
import type { SlopeMeasurement } from "./slope_measurement.ts";

/** Head exchanges between two daemons in one process over loopback; processor time includes both sides. */
export class LoopbackMeasurement implements SlopeMeasurement {
    readonly name = "Loopback exchange";
    readonly sizeUnit = "exchanges";
    readonly sizes = [100, 200, 400];
    readonly target = 1_000;

    async measure(count: number): Promise<Readonly<Record<string, number>>> {
        const kept = await this.measureExchanges(count, true);
        const opened = await this.measureExchanges(count, false);
        return {
            "reused connection, processor µs of both sides": kept.usedUs,
            "reused connection, bytes above TCP in both directions": kept.bytes,
            "new connection each, processor µs of both sides": opened.usedUs,
            "new connection each, bytes above TCP in both directions": opened.bytes,
        };
    }

    private async measureExchanges(count: number, isReused: boolean) {
        let transports = new TransportCache();
        const control = new ConnectPeerControlClient({
            get: (address: string) => transports.get(address),
        } as TransportCache);
        const receiver = createControlListener("daemon-1", control);
        const sender = createControlListener("daemon-2", control);
        const servers = await Promise.all(
            [receiver, sender].map(({ listener }) => openCountingServer(listener)),
        );
        const peer = { id: "daemon-1", address: servers[0]!.address };
        await sender.gossip.sendHeads(peer);
        const bytesBefore = servers[0]!.countBytes();
        let failed = 0;
        const usedUs = await measureProcessorUs(async () => {
            for (let index = 0; index < count; index += 1) {
                if (!isReused) {
                    transports.close();
                    transports = new TransportCache();
                }
                failed += await sender.gossip.sendHeads(peer) ? 0 : 1;
            }
        });
        const bytes = servers[0]!.countBytes() - bytesBefore;
        transports.close();
        await Promise.all(servers.map(server => server.close()));
        if (failed > 0) {
            throw new Error(`${failed} of ${count} exchanges failed`);
        }
        return { usedUs, bytes };
    }
}
