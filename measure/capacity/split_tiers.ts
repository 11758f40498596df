import type { Upstream } from "../../src/core/upstream.ts";
import type { DaemonInfo } from "../../src/membership/daemon_info.ts";

/** Upstreams of the daemon's failure domain, of the rest of its region, and of other regions. */
export function splitTiers(
    daemon: DaemonInfo,
    members: readonly Upstream[],
): readonly (readonly Upstream[])[] {
    const { failureDomain, region } = daemon;
    return [
        members.filter(member => member.failureDomain === failureDomain),
        members.filter(member => member.region === region && member.failureDomain !== failureDomain),
        members.filter(member => member.region !== region),
    ];
}
