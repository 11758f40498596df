import type { OwnedUpstream } from "./owned_upstream.ts";

/** Provides the upstreams that this daemon owns. */
export interface OwnedUpstreamReader {
    /** Undefined when this daemon does not own the upstream. */
    find(id: string): OwnedUpstream | undefined;
    list(): readonly OwnedUpstream[];
}
