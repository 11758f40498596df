import type { Result } from "neverthrow";
import type { Clock } from "../core/clock.ts";
import type { Failure } from "../core/failure.ts";
import type { Filter } from "../core/filter.ts";
import type { OwnerReply } from "../forward/owner_reply.ts";
import type { ServiceTimes } from "../queue/service_times.ts";
import type { RoutedRequest } from "../route/routed_request.ts";
import type { InFlightTable } from "./in_flight_table.ts";
import type { SaturationTable } from "./saturation_table.ts";

interface Options {
    readonly inFlight: InFlightTable;
    readonly saturation: SaturationTable;
    readonly serviceTimes: ServiceTimes;
    readonly clock: Clock;
    readonly inner: Filter<RoutedRequest, OwnerReply>;
}

/** Counts each request as in flight while the inner filter runs, and records saturation and service time. */
export class InFlightFilter implements Filter<RoutedRequest, OwnerReply> {
    constructor(private readonly options: Options) {}

    async apply(request: RoutedRequest): Promise<Result<OwnerReply, Failure>> {
        const { clock, saturation, serviceTimes } = this.options;
        const result = await this.applyInner(request);
        if (result.isOk()) {
            saturation.record(request.service, result.value);
            if (result.value.answer !== undefined) {
                serviceTimes.record(request.route, result.value.serviceMs, clock.getMonotonicMs());
            }
        }
        return result;
    }

    /** Releases the count after an error too; it would take a place of the entry concurrency for good. */
    private async applyInner(request: RoutedRequest): Promise<Result<OwnerReply, Failure>> {
        const { inFlight, inner } = this.options;
        inFlight.add(request.service.name);
        try {
            return await inner.apply(request);
        }
        finally {
            inFlight.remove(request.service.name);
        }
    }
}
