import { buildOwnerRequest } from "../../proof/fakes/build_owner_request.ts";
import { buildService } from "../../proof/fakes/build_service.ts";
import { SystemClock } from "../../src/edge/system/system_clock.ts";
import { SystemTimers } from "../../src/edge/system/system_timers.ts";
import { DaemonState } from "../../src/lifecycle/daemon_state.ts";
import { ConfiguredUpstreams } from "../../src/queue/configured_upstreams.ts";
import { QueueFilter } from "../../src/queue/queue_filter.ts";
import { measureHeapBytes } from "./measure_heap_bytes.ts";
import { measureProcessorUs } from "./measure_processor_us.ts";
import type { SlopeMeasurement } from "./slope_measurement.ts";

/** Limits that let all requests wait; the code path is the same with the limits of a real service. */
const service = buildService({
    limits: { queueLength: 100_000, organisationPercent: 100, targetWaitMs: 1_000_000_000 },
    routes: [{ deadlineMs: 1_000_000_000, serviceMs: 1 }],
});

/** Requests that wait in the queue of one upstream. */
export class QueueMeasurement implements SlopeMeasurement {
    readonly name = "Queue";
    readonly sizeUnit = "queued requests";
    readonly sizes = [250, 500, 1_000];
    readonly target = 1_000;

    async measure(count: number): Promise<Readonly<Record<string, number>>> {
        const many = await this.measureQueue(count, index => `organisation-${index}`);
        const one = await this.measureQueue(count, () => "organisation-0");
        return {
            "requests of different organisations, bytes": many.bytes,
            "requests of one organisation, bytes": one.bytes,
            "add with different organisations, processor µs for all": many.usedUs,
            "add with one organisation, processor µs for all": one.usedUs,
        };
    }

    private async measureQueue(count: number, formatName: (index: number) => string) {
        const queue = new QueueFilter({
            clock: new SystemClock(),
            timers: new SystemTimers(),
            upstreams: new ConfiguredUpstreams([{ id: "u1", service: service.name, address: "", slots: 1 }]),
            daemonState: { getState: () => DaemonState.Serving },
        });
        let usedUs = 0;
        const { bytes, value } = await measureHeapBytes(async () => {
            const requests = Array.from({ length: count }, (_, index) =>
                buildOwnerRequest({
                    service,
                    organisation: formatName(index),
                    requestId: `0123456789abcdef-${index}`,
                    receivedAtMs: performance.now(),
                    signal: new AbortController().signal,
                }));
            const waiting: unknown[] = [];
            usedUs = await measureProcessorUs(() => {
                for (const request of requests) {
                    waiting.push(queue.apply(request));
                }
            });
            return waiting;
        });
        const queued = queue.getState("u1")!.queuedShort;
        if (queued !== count - 1) {
            throw new Error(`${queued} of ${count - 1} requests are queued`);
        }
        queue.drain();
        await Promise.all(value);
        return { bytes, usedUs };
    }
}
