import type { Upstream } from "../core/upstream.ts";

/** Finds the upstreams of one owner. */
export interface OwnerUpstreamReader {
    /** Upstreams of the service, including leaving and ejected ones: their owner still keeps its records. */
    list(ownerId: string, service: string): readonly Upstream[];
}
