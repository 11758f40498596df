import type { Upstream } from "../core/upstream.ts";

/** The platform's list of live and leaving instances. */
export interface InstanceList {
    readonly version: number;
    readonly upstreams: readonly Upstream[];
}
