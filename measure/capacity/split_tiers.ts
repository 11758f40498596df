import type { Upstream } from "../../src/core/upstream.ts";
import type { Daemon } from "../../src/membership/daemon.ts";

/** Upstreams of the daemon's failure domain, of the rest of its region, and of other regions. */
export function splitTiers(daemon: Daemon, members: readonly Upstream[]): readonly (readonly Upstream[])[] {
    const { failureDomain, region } = daemon;
    return [
        members.filter(member => member.failureDomain === failureDomain),
        members.filter(member => member.region === region && member.failureDomain !== failureDomain),
        members.filter(member => member.region !== region),
    ];
}
