import type { RandomSource } from "../core/random_source.ts";
import type { DaemonInfo } from "../membership/daemon_info.ts";

/** Takes daemons in random order, each once in a round, so that none is left out for long. */
export class PeerRotation {
    private peers: readonly DaemonInfo[] = [];
    private waiting: DaemonInfo[] = [];

    constructor(private readonly random: RandomSource) {}

    /** Undefined when there are no daemons; another list begins a new round. */
    take(peers: readonly DaemonInfo[]): DaemonInfo | undefined {
        if (peers !== this.peers || this.waiting.length === 0) {
            this.peers = peers;
            this.waiting = [...peers];
        }
        const index = Math.floor(this.random.getFloat() * this.waiting.length);
        const taken = this.waiting[index];
        const last = this.waiting.pop();
        if (taken !== last && last !== undefined) {
            this.waiting[index] = last;
        }
        return taken;
    }
}
