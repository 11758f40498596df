import type { Clock } from "../core/clock.ts";
import type { DaemonTable } from "../membership/daemon_table.ts";
import type { ReaderRole } from "../published/reader_role.ts";
import { computeRendezvousScore } from "./compute_rendezvous_score.ts";

interface Options {
    readonly daemonId: string;
    readonly failureDomain: string;
    readonly membership: DaemonTable;
    readonly clock: Clock;
    /** Number of readers in each failure domain; the default is two. */
    readonly readers?: number;
    /** Milliseconds without any peer's reply after which a daemon reads the platform; the default is 10 s. */
    readonly isolationMs?: number;
}

/**
 * Milliseconds after a reply of the platform for which a reader counts as connected: one watch and its time
 * limit.
 */
const readValidMs = 10_000;
/** Milliseconds that a message may have taken; added to each received age, so that forwarded ages grow. */
const transferAllowanceMs = 100;
/** Milliseconds for which a substitute keeps reading; by then the instance list has usually changed. */
const substituteMs = 600_000;
/**
 * Daemons of a failure domain with a rank below `ranks` become substitutes and read the platform when no
 * reader is known to have reached it for `afterMs`. When both readers of a partition are lost, a start after
 * 8 s leaves half of the 16 s in which a configuration must reach all daemons.
 */
const substituteTiers = [{ ranks: 4, afterMs: 8_000 }, { ranks: 8, afterMs: 12_000 }];

/**
 * Elects the daemons of each failure domain that read the platform, by rendezvous hashing over the instance
 * list. A daemon without a list or without contact to any peer reads the platform itself, and so do the next
 * daemons by rank when no reader reaches the platform.
 */
export class ReaderElection implements ReaderRole {
    private lastReplyMs: number;
    private rankedVersion = -1;
    private rank = 0;
    private platformReachedMs: number;
    private lastReadMs: number | undefined;
    private substituteUntilMs = 0;

    constructor(private readonly options: Options) {
        this.lastReplyMs = options.clock.getMonotonicMs();
        this.platformReachedMs = this.lastReplyMs;
    }

    isReader(): boolean {
        const { membership, clock, readers = 2, isolationMs = 10_000 } = this.options;
        const nowMs = clock.getMonotonicMs();
        if (membership.getDaemons().size === 0 || nowMs - this.lastReplyMs >= isolationMs) {
            return true;
        }
        if (this.rankedVersion !== membership.getVersion()) {
            this.rankedVersion = membership.getVersion();
            this.rank = this.computeRank();
        }
        const ageMs = this.getPlatformAgeMs();
        if (substituteTiers.some(({ ranks, afterMs }) => this.rank < ranks && ageMs >= afterMs)) {
            this.substituteUntilMs = nowMs + substituteMs;
        }
        return this.rank < readers || nowMs < this.substituteUntilMs;
    }

    recordPeerReply(): void {
        this.lastReplyMs = this.options.clock.getMonotonicMs();
    }

    recordRead(isAnswered: boolean): void {
        this.platformReachedMs = this.computePlatformReachedMs();
        this.lastReadMs = isAnswered ? this.options.clock.getMonotonicMs() : undefined;
    }

    /** Records a platform age that a peer sent. */
    recordPlatformAge(ageMs: number): void {
        const reachedMs = this.options.clock.getMonotonicMs() - ageMs - transferAllowanceMs;
        this.platformReachedMs = Math.max(this.platformReachedMs, reachedMs);
    }

    /** Milliseconds since any daemon reached the platform, according to own reads and peers' reports. */
    getPlatformAgeMs(): number {
        return this.options.clock.getMonotonicMs() - this.computePlatformReachedMs();
    }

    /** A pending watch counts as contact with the platform until it is overdue. */
    private computePlatformReachedMs(): number {
        const nowMs = this.options.clock.getMonotonicMs();
        const ownMs = this.lastReadMs === undefined
            ? -Infinity
            : Math.min(nowMs, this.lastReadMs + readValidMs);
        return Math.max(this.platformReachedMs, ownMs);
    }

    /** Number of other daemons of the local failure domain with a higher score. */
    private computeRank(): number {
        const { daemonId, failureDomain, membership } = this.options;
        const score = computeRendezvousScore(failureDomain, daemonId);
        let rank = 0;
        for (const { id, leaving, failureDomain: domain } of membership.getDaemons().values()) {
            if (id !== daemonId && !leaving && domain === failureDomain) {
                const other = computeRendezvousScore(failureDomain, id);
                rank += other > score || (other === score && id > daemonId) ? 1 : 0;
            }
        }
        return rank;
    }
}
