import { SeededRandom } from "../../proof/fakes/seeded_random.ts";
import type { Upstream } from "../../src/core/upstream.ts";
import type { DaemonInfo } from "../../src/membership/daemon_info.ts";
import { RendezvousSubsetRule } from "./rendezvous_subset_rule.ts";
import { RingSubsetRule } from "./ring_subset_rule.ts";
import { splitTiers } from "./split_tiers.ts";
import type { SubsetRule } from "./subset_rule.ts";

const daemonCount = 1_800;
const domainCount = 31;
const regionCount = 8;
const sampledServices = 36;
/** Share of the selections that prefer the local failure domain, as in `selectByLoad`. */
const localShare = 0.75;

interface Load {
    readonly perUpstream: ReadonlyMap<string, number>;
    readonly meanSize: number;
}

/**
 * Load of the upstreams when each daemon sends to a bounded subset of each service, compared with sending
 * to all with the same preference for its failure domain and region. Every daemon sends the same rate.
 */
export class SubsetMeasurement {
    readonly name = "Subsets";
    private readonly daemons = buildDaemons(daemonCount);
    private readonly services = Array.from({ length: sampledServices }, (_, index) => buildMembers(index));

    /** Lines of a table in Markdown. */
    measure(): readonly string[] {
        const fullLoads = this.services.map(members => this.computeLoad(members, selectAll));
        const rows: string[] = [];
        for (const sizes of [[4, 2, 2], [6, 3, 3], [8, 4, 4]]) {
            for (const rule of [new RingSubsetRule(sizes), new RendezvousSubsetRule(sizes)]) {
                rows.push(this.formatRow(rule, sizes, fullLoads));
            }
        }
        return [
            `### ${this.name}`,
            "",
            "| rule | sizes by tier | mean size | greatest load against all upstreams: median service, worst service "
            + "| members replaced for a daemon when one other leaves |",
            "| --- | --- | --- | --- | --- |",
            ...rows,
            "",
        ];
    }

    private formatRow(rule: SubsetRule, sizes: readonly number[], fullLoads: readonly Load[]): string {
        const ranks = computeRanks(this.daemons);
        const select = (daemon: DaemonInfo, members: readonly Upstream[]) =>
            rule.select(daemon, members, ranks);
        const loads = this.services.map(members => this.computeLoad(members, select));
        const greatestRatios = loads.map(({ perUpstream }, index) =>
            Math.max(
                ...[...perUpstream].map(([id, load]) =>
                    load / Math.max(fullLoads[index]!.perUpstream.get(id) ?? 0, 1e-9)
                ),
            )
        ).toSorted((left, right) => left - right);
        const meanSize = loads.reduce((sum, load) => sum + load.meanSize, 0) / loads.length;
        const columns = [
            rule.name,
            sizes.join(" + "),
            meanSize.toFixed(1),
            `${greatestRatios[greatestRatios.length >> 1]!.toFixed(2)}, ${greatestRatios.at(-1)!.toFixed(2)}`,
            this.computeReplacedMembers(rule).toFixed(2),
        ];
        return `| ${columns.join(" | ")} |`;
    }

    private computeLoad(
        members: readonly Upstream[],
        select: (daemon: DaemonInfo, members: readonly Upstream[]) => readonly Upstream[],
    ): Load {
        const perUpstream = new Map(members.map(({ id }) => [id, 0]));
        let total = 0;
        for (const daemon of this.daemons) {
            const chosen = select(daemon, members);
            total += chosen.length;
            const [local, otherInRegion] = splitTiers(daemon, chosen);
            const inRegion = [...local!, ...otherInRegion!];
            const preferred = local!.length > 0 ? local! : inRegion;
            addLoad(perUpstream, preferred.length > 0 ? preferred : chosen, localShare);
            addLoad(perUpstream, inRegion.length > 0 ? inRegion : chosen, 1 - localShare);
        }
        return { perUpstream, meanSize: total / this.daemons.length };
    }

    /** Mean over services and daemons when the daemon in the middle of the list is removed. */
    private computeReplacedMembers(rule: SubsetRule): number {
        const remaining = this.daemons.filter((_, index) => index !== daemonCount >> 1);
        const before = computeRanks(this.daemons);
        const after = computeRanks(remaining);
        let replaced = 0;
        for (const members of this.services) {
            for (const daemon of remaining) {
                const previous = new Set(rule.select(daemon, members, before));
                replaced += rule.select(daemon, members, after).filter(member =>
                    !previous.has(member)
                ).length;
            }
        }
        return replaced / this.services.length / remaining.length;
    }
}

function selectAll(_daemon: DaemonInfo, members: readonly Upstream[]): readonly Upstream[] {
    return members;
}

function addLoad(loads: Map<string, number>, members: readonly Upstream[], share: number): void {
    for (const { id } of members) {
        loads.set(id, loads.get(id)! + share / members.length);
    }
}

function buildDaemons(count: number): readonly DaemonInfo[] {
    return Array.from({ length: count }, (_, index) => {
        const domain = index % domainCount;
        return {
            id: `daemon-${index}`,
            address: "",
            failureDomain: `zone-${domain}`,
            region: `region-${domain % regionCount}`,
            leaving: false,
        };
    });
}

/** A service of 12, 24, 48 or 192 upstreams, spread evenly over the failure domains of one to all regions. */
function buildMembers(index: number): readonly Upstream[] {
    const random = new SeededRandom(index);
    const count = [12, 24, 24, 24, 48, 192][index % 6]!;
    const regions = [1, 2, 3, 8][Math.floor(random.getFloat() * 4)]!;
    const firstRegion = Math.floor(random.getFloat() * regionCount);
    const domains = Array.from({ length: domainCount }, (_, domain) => domain)
        .filter(domain => (domain % regionCount - firstRegion + regionCount) % regionCount < regions);
    return Array.from({ length: count }, (_, member) => {
        const domain = domains[member % domains.length]!;
        return {
            id: `service-${index}-${member}`,
            service: `service-${index}`,
            failureDomain: `zone-${domain}`,
            region: `region-${domain % regionCount}`,
            ownerId: "",
            ownerAddress: "",
            leaving: false,
        };
    }).sort((left, right) => left.id < right.id ? -1 : 1);
}

/** Rank of each daemon in its failure domain. */
function computeRanks(daemons: readonly DaemonInfo[]): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    return new Map(
        [...daemons].sort((left, right) => left.id < right.id ? -1 : 1).map(daemon => {
            const rank = counts.get(daemon.failureDomain) ?? 0;
            counts.set(daemon.failureDomain, rank + 1);
            return [daemon.id, rank];
        }),
    );
}
