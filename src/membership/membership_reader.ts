import type { Upstream } from "../core/upstream.ts";

/** Provides the known upstreams. */
export interface MembershipReader {
    /** Upstreams of a service that are not leaving, in a stable order. */
    list(service: string): readonly Upstream[];
    /** Monotonic milliseconds at which this daemon first saw the upstream; undefined when it is not known. */
    getFirstSeenMs(upstreamId: string): number | undefined;
    /** Version of the instance list. */
    getVersion(): number;
}
