import type { RandomSource } from "../core/random_source.ts";
import type { DaemonInfo } from "../membership/daemon_info.ts";

/** Takes daemons in random order, each once in a round, so that none is left out for long. */
export class RandomRoundRobin {
    private peers: readonly DaemonInfo[] = [];
    private remaining: DaemonInfo[] = [];

    constructor(private readonly random: RandomSource) {}

    /** Undefined when there are no daemons; another list begins a new round. */
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
