import type { Upstream } from "../core/upstream.ts";

/** Decides which upstreams this daemon would send new work to. */
export interface UpstreamPreference {
    /** False for ejected and leaving upstreams. */
    isPreferred(upstream: Upstream): boolean;
}
