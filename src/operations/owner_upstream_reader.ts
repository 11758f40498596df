import type { Upstream } from "../core/upstream.ts";

/** Finds the upstreams of one owner. */
export interface OwnerUpstreamReader {
    /** Upstreams of the service, also leaving and ejected ones, because their owner still holds its records. */
    list(ownerId: string, service: string): readonly Upstream[];
}
