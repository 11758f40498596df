import type { Clock } from "../core/clock.ts";
import type { DaemonTable } from "../membership/daemon_table.ts";
import type { ReaderRole } from "../platform/reader_role.ts";
import { computeRankScore } from "./compute_rank_score.ts";

interface Options {
    readonly daemonId: string;
    readonly failureDomain: string;
    readonly membership: DaemonTable;
    readonly clock: Clock;
    /** Readers in each failure domain; the default is two. */
    readonly readers?: number;
    /** Milliseconds without a reply of any peer after which a daemon reads for itself; the default is 10 s. */
    readonly isolationMs?: number;
}

/**
 * Chooses the readers of each failure domain by rendezvous hashing over the instance list. A daemon without a list,
 * or cut off from all peers, reads for itself.
 */
export class ReaderElection implements ReaderRole {
    private contactMs: number;
    private rankedVersion = -1;
    private isChosen = true;

    constructor(private readonly options: Options) {
        this.contactMs = options.clock.getMonotonicMs();
    }

    isReader(): boolean {
        const { membership, clock, isolationMs = 10_000 } = this.options;
        if (membership.getDaemons().size === 0 || clock.getMonotonicMs() - this.contactMs >= isolationMs) {
            return true;
        }
        if (this.rankedVersion !== membership.getVersion()) {
            this.rankedVersion = membership.getVersion();
            this.isChosen = this.computeRank() < (this.options.readers ?? 2);
        }
        return this.isChosen;
    }

    /** Takes note that a peer replied. */
    recordContact(): void {
        this.contactMs = this.options.clock.getMonotonicMs();
    }

    /** Number of other daemons of the own domain with a higher score. */
    private computeRank(): number {
        const { daemonId, failureDomain, membership } = this.options;
        const score = computeRankScore(failureDomain, daemonId);
        let rank = 0;
        for (const { id, leaving, failureDomain: domain } of membership.getDaemons().values()) {
            if (id !== daemonId && !leaving && domain === failureDomain) {
                const other = computeRankScore(failureDomain, id);
                rank += other > score || (other === score && id > daemonId) ? 1 : 0;
            }
        }
        return rank;
    }
}
