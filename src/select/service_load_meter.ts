import type { MembershipReader } from "../membership/membership_reader.ts";
import type { ObservedLoad } from "./observed_load.ts";
import type { ServiceLoadReader } from "./service_load_reader.ts";

interface Options {
    readonly membership: MembershipReader;
    readonly findLoad: (upstreamId: string) => ObservedLoad | undefined;
}

/** Mean load of the upstreams of a service. A state counts less the older it is; queued requests do not count. */
export class ServiceLoadMeter implements ServiceLoadReader {
    constructor(private readonly options: Options) {}

    measureLoad(service: string, nowMs: number): number | undefined {
        let weight = 0;
        let busy = 0;
        for (const { id } of this.options.membership.list(service)) {
            const load = this.options.findLoad(id);
            const freshness = load?.getFreshness(nowMs) ?? 0;
            weight += freshness;
            busy += freshness * Math.min(1, load?.measure(nowMs) ?? 0);
        }
        return weight === 0 ? undefined : busy / weight;
    }
}
