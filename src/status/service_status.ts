import type { UpstreamStatus } from "../health/upstream_status.ts";

/** One service as one daemon sees it. */
export interface ServiceStatus {
    readonly name: string;
    readonly floor: number;
    readonly members: number;
    /** The upstreams of the instance list; those that are leaving have no health. */
    readonly upstreams: readonly {
        readonly id: string;
        readonly ownerId: string;
        readonly failureDomain: string;
        readonly leaving: boolean;
        readonly ejected: boolean;
        readonly health: UpstreamStatus | undefined;
    }[];
}
