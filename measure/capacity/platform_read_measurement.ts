import { JsonInstanceListCodec } from "../../src/edge/control/json_instance_list_codec.ts";
import { GotPlatformReader } from "../../src/edge/published_http/got_platform_reader.ts";
import { DigestInstancesFilter } from "../../src/published/digest_instances_filter.ts";
import type { InstanceList } from "../../src/published/instance_list.ts";
import { ValidateInstancesFilter } from "../../src/published/validate_instances_filter.ts";
import { buildTargetUpstreams } from "./build_target_upstreams.ts";
import { measureProcessorUs } from "./measure_processor_us.ts";
import { openCountingServer } from "./open_counting_server.ts";
import type { SlopeMeasurement } from "./slope_measurement.ts";

/** One read of the complete instance list, and the filters in front of the membership table. */
export class PlatformReadMeasurement implements SlopeMeasurement {
    readonly name = "Platform read of the instance list";
    readonly sizeUnit = "upstreams";
    readonly sizes = [6_000, 12_000, 24_000];
    readonly target = 24_000;

    async measure(count: number): Promise<Readonly<Record<string, number>>> {
        const content = Buffer.from(JSON.stringify({ version: 1, upstreams: buildTargetUpstreams(count) }));
        const server = await openCountingServer((_, response) => {
            response.end(content);
        });
        const reader = new GotPlatformReader({ url: `http://${server.address}` });
        let list: InstanceList | undefined;
        const readUs = await measureProcessorUs(async () => {
            list = (await reader.fetchInstances(0, 0))._unsafeUnwrap();
        });
        const filterUs = await measureProcessorUs(async () => {
            const candidate = new DigestInstancesFilter(new JsonInstanceListCodec()).apply(list!);
            new ValidateInstancesFilter().apply(candidate._unsafeUnwrap())._unsafeUnwrap();
        });
        const bytes = server.countBytes();
        reader.close();
        await server.close();
        return {
            "read and schema check, processor ms": readUs / 1_000,
            "digest and validation, processor ms": filterUs / 1_000,
            "bytes above TCP": bytes,
        };
    }
}
