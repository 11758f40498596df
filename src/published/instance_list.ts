import type { Upstream } from "../core/upstream.ts";

/** The platform's list of live and leaving upstreams. */
export interface InstanceList {
    readonly version: number;
    readonly upstreams: readonly Upstream[];
}
