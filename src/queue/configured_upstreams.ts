import type { OwnedUpstream } from "./owned_upstream.ts";
import type { OwnedUpstreamReader } from "./owned_upstream_reader.ts";

/** The upstreams named in the settings of the daemon. */
export class ConfiguredUpstreams implements OwnedUpstreamReader {
    constructor(private readonly upstreams: readonly OwnedUpstream[]) {}

    find(id: string): OwnedUpstream | undefined {
        return this.upstreams.find(upstream => upstream.id === id);
    }

    list(): readonly OwnedUpstream[] {
        return this.upstreams;
    }
}
