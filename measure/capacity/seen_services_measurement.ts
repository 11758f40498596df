import { buildService } from "../../proof/fakes/build_service.ts";
import { VirtualTime } from "../../proof/fakes/virtual_time.ts";
import { buildTargetUpstreams } from "./build_target_upstreams.ts";
import { createOwnerReply } from "./create_owner_reply.ts";
import { createRoutedRequest } from "./create_routed_request.ts";
import { createSelector } from "./create_selector.ts";
import { measureHeapBytes } from "./measure_heap_bytes.ts";
import type { SlopeMeasurement } from "./slope_measurement.ts";

const requestsPerService = 96;

/** Memory of an entry daemon for the services, of 24 upstreams each, to which it has sent requests. */
export class SeenServicesMeasurement implements SlopeMeasurement {
    readonly name = "Services seen";
    readonly sizeUnit = "services";
    readonly sizes = [50, 100, 150];
    readonly target = 1_000;

    async measure(count: number): Promise<Readonly<Record<string, number>>> {
        const time = new VirtualTime();
        const services = Array.from(
            { length: count },
            (_, index) => buildService({ name: `service-${index}` }),
        );
        const selector = createSelector(buildTargetUpstreams(24_000), time);
        const { bytes } = await measureHeapBytes(() => {
            for (const service of services) {
                for (let index = 0; index < requestsPerService; index += 1) {
                    const request = createRoutedRequest(index, service);
                    const selected = selector.select(request, 1, new Set())._unsafeUnwrap();
                    const reply = createOwnerReply(index, 0, 0);
                    selector.recordStart(selected);
                    selector.recordReply(selected, {
                        ...reply,
                        upstream: { ...reply.upstream!, upstreamId: selected.upstream.id },
                    }, 25);
                }
            }
            return selector;
        });
        return { "evidence and load, bytes on the heap": bytes };
    }
}
