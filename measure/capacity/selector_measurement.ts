import { buildService } from "../../proof/fakes/build_service.ts";
import { VirtualTime } from "../../proof/fakes/virtual_time.ts";
import { buildTargetUpstreams } from "./build_target_upstreams.ts";
import { createOwnerReply } from "./create_owner_reply.ts";
import { createRoutedRequest } from "./create_routed_request.ts";
import { createSelector } from "./create_selector.ts";
import { measureProcessorUs } from "./measure_processor_us.ts";
import type { SlopeMeasurement } from "./slope_measurement.ts";

const requests = 1_000;
const noneExcluded: ReadonlySet<string> = new Set();

/** Selection among the upstreams of one service. */
export class SelectorMeasurement implements SlopeMeasurement {
    readonly name = "Selection";
    readonly sizeUnit = "upstreams of the service";
    readonly sizes = [6, 24, 50, 100, 200];
    readonly target = 200;

    async measure(count: number): Promise<Readonly<Record<string, number>>> {
        const time = new VirtualTime();
        const service = buildService({ name: "service-0" });
        const upstreams = buildTargetUpstreams(24_000).filter((_, index) => index % 97 === 0).slice(0, count)
            .map(upstream => ({ ...upstream, service: "service-0" }));
        const selector = createSelector(upstreams, time);
        const routed = Array.from(
            { length: requests },
            (_, index) => createRoutedRequest(index, service),
        );
        const select = () => routed.map(request => selector.select(request, 1, noneExcluded)._unsafeUnwrap());
        select();
        const selectUs = await measureProcessorUs(select);
        const selected = select();
        const recordUs = await measureProcessorUs(() => {
            for (const [index, request] of selected.entries()) {
                selector.recordStart(request);
                selector.recordReply(request, createOwnerReply(index, 0, 0), 25);
            }
        });
        return {
            "select, processor µs": selectUs / requests,
            "record start and reply, processor µs": recordUs / requests,
        };
    }
}
