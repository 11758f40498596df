import type { RandomSource } from "../core/random_source.ts";
import type { DaemonInfo } from "../membership/daemon_info.ts";
import type { DaemonTable } from "../membership/daemon_table.ts";
import type { Peer } from "./peer.ts";

interface Options {
    readonly daemonId: string;
    readonly failureDomain: string;
    readonly membership: DaemonTable;
    readonly random: RandomSource;
    /** Addresses from the settings, used while the list names no other daemon. */
    readonly seeds: readonly string[];
    /** Share of the peers in the own failure domain; the default is 0.75. */
    readonly ownShare?: number;
}

/** Picks the peers of each round at random, mostly in the own failure domain. */
export class PeerSelector {
    private version = -1;
    private own: readonly DaemonInfo[] = [];
    private others: readonly DaemonInfo[] = [];
    private byDomain: ReadonlyMap<string, readonly DaemonInfo[]> = new Map();

    constructor(private readonly options: Options) {}

    /** Up to `count` different peers. */
    select(count: number): readonly Peer[] {
        this.update();
        if (this.own.length + this.others.length === 0) {
            return this.takeSome(this.options.seeds.map(address => ({ id: undefined, address })), count);
        }
        const chosen = new Set<DaemonInfo>();
        for (let index = 0; index < 2 * count && chosen.size < count; index++) {
            const isOwn = this.options.random.getFloat() < (this.options.ownShare ?? 0.75);
            const [first, second] = isOwn ? [this.own, this.others] : [this.others, this.own];
            const pool = first.length > 0 ? first : second;
            chosen.add(pool[Math.floor(this.options.random.getFloat() * pool.length)]!);
        }
        return [...chosen];
    }

    /** One peer in each failure domain and up to `count` more in the own one. */
    selectWide(count: number): readonly Peer[] {
        this.update();
        const peers = new Set<DaemonInfo>(this.takeSome(this.own, count));
        for (const members of this.byDomain.values()) {
            for (const member of this.takeSome(members, 1)) {
                peers.add(member);
            }
        }
        return [...peers];
    }

    private takeSome<Item>(items: readonly Item[], count: number): readonly Item[] {
        const rest = [...items];
        const taken: Item[] = [];
        while (taken.length < count && rest.length > 0) {
            taken.push(...rest.splice(Math.floor(this.options.random.getFloat() * rest.length), 1));
        }
        return taken;
    }

    private update(): void {
        const { membership, daemonId, failureDomain } = this.options;
        if (this.version === membership.getVersion()) {
            return;
        }
        this.version = membership.getVersion();
        const peers = [...membership.getDaemons().values()].filter(({ id }) => id !== daemonId);
        this.own = peers.filter(peer => peer.failureDomain === failureDomain);
        this.others = peers.filter(peer => peer.failureDomain !== failureDomain);
        const byDomain = new Map<string, DaemonInfo[]>();
        for (const peer of this.others) {
            byDomain.set(peer.failureDomain, [...byDomain.get(peer.failureDomain) ?? [], peer]);
        }
        this.byDomain = byDomain;
    }
}
