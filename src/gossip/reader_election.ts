import type { Clock } from "../core/clock.ts";
import type { DaemonTable } from "../membership/daemon_table.ts";
import type { ReaderRole } from "../published/reader_role.ts";
import { computeRendezvousScore } from "./compute_rendezvous_score.ts";

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

/** Milliseconds after an answer of the platform for which a reader counts as connected: one watch and its limit. */
const readValidMs = 10_000;
/** Milliseconds that a message may have taken; added to each age, so that ages grow while they are passed on. */
const transferAllowanceMs = 100;
/** Milliseconds for which a substitute goes on reading; the list has usually changed by then. */
const substituteMs = 600_000;
/**
 * Daemons of a failure domain, by their place in the order of the scores, that read when no reader is heard of for
 * this long: with two readers lost in a partition, a substitute leaves half of the 16 s for the spread.
 */
const substituteTiers = [{ ranks: 4, afterMs: 8_000 }, { ranks: 8, afterMs: 12_000 }];

/**
 * Chooses the readers of each failure domain by rendezvous hashing over the instance list. A daemon without a list,
 * or cut off from all peers, reads for itself; so do the next in the order when no reader reaches the platform.
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

    /** Takes note that a peer replied. */
    recordPeerReply(): void {
        this.lastReplyMs = this.options.clock.getMonotonicMs();
    }

    recordRead(isAnswered: boolean): void {
        this.platformReachedMs = this.computePlatformReachedMs();
        this.lastReadMs = isAnswered ? this.options.clock.getMonotonicMs() : undefined;
    }

    /** Takes note of the age that a peer sent. */
    recordPlatformAge(ageMs: number): void {
        const reachedMs = this.options.clock.getMonotonicMs() - ageMs - transferAllowanceMs;
        this.platformReachedMs = Math.max(this.platformReachedMs, reachedMs);
    }

    /** Milliseconds since this daemon or a reader that it heard of, directly or through others, reached the platform. */
    getPlatformAgeMs(): number {
        return this.options.clock.getMonotonicMs() - this.computePlatformReachedMs();
    }

    /** A watch that waits at the platform counts as reaching it until it is overdue. */
    private computePlatformReachedMs(): number {
        const nowMs = this.options.clock.getMonotonicMs();
        const ownMs = this.lastReadMs === undefined
            ? -Infinity
            : Math.min(nowMs, this.lastReadMs + readValidMs);
        return Math.max(this.platformReachedMs, ownMs);
    }

    /** Number of other daemons of the own domain with a higher score. */
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
