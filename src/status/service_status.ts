import type { UpstreamStatus } from "../health/upstream_status.ts";

/** Status of one service from the view of one daemon. */
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
