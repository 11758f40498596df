import { GotPlatformReader } from "../../src/edge/published_http/got_platform_reader.ts";
import { measureProcessorUs } from "./measure_processor_us.ts";
import { openCountingServer } from "./open_counting_server.ts";
import type { SlopeMeasurement } from "./slope_measurement.ts";

/** Watches that end without a change; the processor time includes a minimal server in the same process. */
export class PlatformWatchMeasurement implements SlopeMeasurement {
    readonly name = "Platform watch";
    readonly sizeUnit = "watches";
    readonly sizes = [50, 100, 200];
    readonly target = 1_000;

    async measure(count: number): Promise<Readonly<Record<string, number>>> {
        const server = await openCountingServer((_, response) => {
            response.statusCode = 304;
            response.end();
        });
        const reader = new GotPlatformReader({ url: `http://${server.address}` });
        const usedUs = await measureProcessorUs(async () => {
            for (let index = 0; index < count; index += 1) {
                (await reader.fetchValue("head", 1_234_567, 8_000))._unsafeUnwrap();
            }
        });
        const bytes = server.countBytes();
        reader.close();
        await server.close();
        return { "processor µs": usedUs, "bytes above TCP in both directions": bytes };
    }
}
