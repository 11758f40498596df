import type { RandomSource } from "../core/random_source.ts";
import type { DaemonInfo } from "../membership/daemon_info.ts";

/**
 * Selects daemons in a random order that is shuffled in each round, so that the time between two selections
 * of a daemon is bounded.
 */
export class RandomRoundRobin {
    private peers: readonly DaemonInfo[] = [];
    private remaining: DaemonInfo[] = [];

    constructor(private readonly random: RandomSource) {}

    /** Undefined when there are no daemons. A different list starts a new round. */
    take(peers: readonly DaemonInfo[]): DaemonInfo | undefined {
        if (peers !== this.peers || this.remaining.length === 0) {
            this.peers = peers;
            this.remaining = [...peers];
        }
        const index = Math.floor(this.random.getFloat() * this.remaining.length);
        const taken = this.remaining[index];
        const last = this.remaining.pop();
        if (taken !== last && last !== undefined) {
            this.remaining[index] = last;
        }
        return taken;
    }
}
