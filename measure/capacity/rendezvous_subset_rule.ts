import type { Upstream } from "../../src/core/upstream.ts";
import { computeRendezvousScore } from "../../src/gossip/compute_rendezvous_score.ts";
import type { DaemonInfo } from "../../src/membership/daemon_info.ts";
import { splitTiers } from "./split_tiers.ts";
import type { SubsetRule } from "./subset_rule.ts";

/** Selects the members of each tier with the highest rendezvous hashing scores for the daemon. */
export class RendezvousSubsetRule implements SubsetRule {
    readonly name = "rendezvous hashing";

    /** `sizes` as in `RingSubsetRule`. */
    constructor(private readonly sizes: readonly number[]) {}

    select(daemon: DaemonInfo, members: readonly Upstream[]): readonly Upstream[] {
        const chosen: Upstream[] = [];
        let wanted = 0;
        for (const [index, tier] of splitTiers(daemon, members).entries()) {
            wanted += this.sizes[index]!;
            const scored = tier.map(member => ({
                member,
                score: computeRendezvousScore(daemon.id, member.id),
            }));
            scored.sort((left, right) => right.score - left.score);
            const count = Math.max(0, wanted - chosen.length);
            chosen.push(...scored.slice(0, count).map(({ member }) => member));
        }
        return chosen;
    }
}
