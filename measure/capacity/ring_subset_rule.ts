import type { Upstream } from "../../src/core/upstream.ts";
import { computeRendezvousScore } from "../../src/gossip/compute_rendezvous_score.ts";
import type { DaemonInfo } from "../../src/membership/daemon_info.ts";
import { splitTiers } from "./split_tiers.ts";
import type { SubsetRule } from "./subset_rule.ts";

/** Selects consecutive members of each tier, from a position computed from the daemon's rank. */
export class RingSubsetRule implements SubsetRule {
    readonly name = "ring by rank";

    /** `sizes` bounds the members of each tier, nearest first; later tiers make up for a smaller one. */
    constructor(private readonly sizes: readonly number[]) {}

    select(
        daemon: DaemonInfo,
        members: readonly Upstream[],
        ranks: ReadonlyMap<string, number>,
    ): readonly Upstream[] {
        const chosen: Upstream[] = [];
        let wanted = 0;
        const rank = ranks.get(daemon.id)!;
        const serviceOffset = computeRendezvousScore(members[0]!.service, "");
        for (const [index, tier] of splitTiers(daemon, members).entries()) {
            wanted += this.sizes[index]!;
            const count = Math.min(tier.length, wanted - chosen.length);
            // Advances by the subset size per rank, so that adjacent ranks cover the tier before they overlap.
            const start = (rank * Math.max(1, count) + serviceOffset) % Math.max(1, tier.length);
            for (let step = 0; step < count; step += 1) {
                chosen.push(tier[(start + step) % tier.length]!);
            }
        }
        return chosen;
    }
}
