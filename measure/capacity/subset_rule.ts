import type { Upstream } from "../../src/core/upstream.ts";
import type { DaemonInfo } from "../../src/membership/daemon_info.ts";

/** Chooses the upstreams of one service that one daemon sends to. */
export interface SubsetRule {
    readonly name: string;
    /** `members` are sorted by identifier; `ranks` gives the rank of each daemon in its failure domain and region. */
    select(
        daemon: DaemonInfo,
        members: readonly Upstream[],
        ranks: ReadonlyMap<string, number>,
    ): readonly Upstream[];
}
