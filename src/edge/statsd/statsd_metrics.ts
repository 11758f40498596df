/**
 * Metrics over UDP in the StatsD format.
 *
 * @module
 */
import { StatsD } from "hot-shots";
import type { Metrics } from "../../core/metrics.ts";
import { splitAddress } from "../http/split_address.ts";

const FLUSH_INTERVAL_MS = 1_000;
/** Fits one Ethernet frame. */
const MAX_DATAGRAM_BYTES = 1_432;

type Tags = Readonly<Record<string, string>>;

/** Sends metrics in batches to a StatsD receiver. */
export class StatsdMetrics implements Metrics {
    private readonly client: StatsD;

    constructor(options: { readonly address: string; readonly daemonId: string; }) {
        this.client = new StatsD({
            ...splitAddress(options.address),
            prefix: "zinniaglade.",
            globalTags: { daemon: options.daemonId },
            maxBufferSize: MAX_DATAGRAM_BYTES,
            bufferFlushInterval: FLUSH_INTERVAL_MS,
            // Metrics are best effort; a missing receiver must not disturb requests.
            errorHandler: () => undefined,
        });
    }

    addCount(name: string, tags?: Tags): void {
        this.client.increment(name, 1, { ...tags });
    }

    setGauge(name: string, value: number, tags?: Tags): void {
        this.client.gauge(name, value, { ...tags });
    }

    recordTime(name: string, valueMs: number, tags?: Tags): void {
        this.client.timing(name, valueMs, { ...tags });
    }

    close(): Promise<void> {
        return new Promise(resolve => this.client.close(() => resolve()));
    }
}
