import type { RandomSource } from "../core/random_source.ts";
import type { DaemonInfo } from "../membership/daemon_info.ts";
import type { DaemonTable } from "../membership/daemon_table.ts";
import type { Peer } from "./peer.ts";

interface Options {
    readonly daemonId: string;
    readonly failureDomain: string;
    readonly membership: DaemonTable;
    readonly random: RandomSource;
    /** Addresses from the settings, used while the instance list names no other daemon. */
    readonly seeds: readonly string[];
    /** Share of selected peers in the local failure domain; the default is 0.75. */
    readonly localShare?: number;
}

/** Selects the peers of each round at random, mostly in the local failure domain. */
export class PeerSelector {
    private version = -1;
    private localPeers: readonly DaemonInfo[] = [];
    private remotePeers: readonly DaemonInfo[] = [];
    private remoteByDomain: ReadonlyMap<string, readonly DaemonInfo[]> = new Map();

    constructor(private readonly options: Options) {}

    /** Up to `count` different peers. */
    select(count: number): readonly Peer[] {
        this.update();
        if (this.localPeers.length + this.remotePeers.length === 0) {
            return this.takeRandom(this.options.seeds.map(address => ({ id: undefined, address })), count);
        }
        const chosen = new Set<DaemonInfo>();
        for (let index = 0; index < 2 * count && chosen.size < count; index++) {
            const isLocal = this.options.random.getFloat() < (this.options.localShare ?? 0.75);
            const [first, second] = isLocal
                ? [this.localPeers, this.remotePeers]
                : [this.remotePeers, this.localPeers];
            const pool = first.length > 0 ? first : second;
            chosen.add(pool[Math.floor(this.options.random.getFloat() * pool.length)]!);
        }
        return [...chosen];
    }

    /** One peer in each remote failure domain, and up to `count` in the local one. */
    selectAcrossDomains(count: number): readonly Peer[] {
        this.update();
        const peers = new Set<DaemonInfo>(this.takeRandom(this.localPeers, count));
        for (const members of this.remoteByDomain.values()) {
            for (const member of this.takeRandom(members, 1)) {
                peers.add(member);
            }
        }
        return [...peers];
    }

    private takeRandom<Item>(items: readonly Item[], count: number): readonly Item[] {
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
        this.localPeers = peers.filter(peer => peer.failureDomain === failureDomain);
        this.remotePeers = peers.filter(peer => peer.failureDomain !== failureDomain);
        const byDomain = new Map<string, DaemonInfo[]>();
        for (const peer of this.remotePeers) {
            byDomain.set(peer.failureDomain, [...byDomain.get(peer.failureDomain) ?? [], peer]);
        }
        this.remoteByDomain = byDomain;
    }
}
