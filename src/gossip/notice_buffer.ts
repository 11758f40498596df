import type { DaemonNotice } from "./daemon_notice.ts";

/** Notices of others in one message: about 400 bytes. */
const maxNotices = 8;

/** Notices that this daemon passes on, each for a limited number of rounds. */
export class NoticeBuffer {
    private own: DaemonNotice | undefined;
    private readonly rounds = new Map<DaemonNotice, number>();
    /** Notices that were taken before, in the order of their arrival. */
    private readonly seen = new Set<string>();

    /**
     * `limit` is the number of rounds in which a notice is passed on; in each round a daemon meets two others on
     * average, one that it chooses and one that chooses it. `memory` is the number of notices that are known again:
     * at 7,200 starts and stops per day, 1,000 cover three hours, and none circulates longer than a minute.
     */
    constructor(private readonly maxRounds = 8, private readonly maxSeen = 1_000) {}

    /** The own notice is passed on for as long as the daemon runs. */
    setOwn(notice: DaemonNotice): void {
        this.own = notice;
    }

    /** Passes on a notice; returns false when it was taken before. */
    add(notice: DaemonNotice): boolean {
        const key = `${notice.daemonId} ${notice.incarnation} ${notice.leaving}`;
        if (this.seen.has(key)) {
            return false;
        }
        for (const oldest of this.seen) {
            if (this.seen.size < this.maxSeen) {
                break;
            }
            this.seen.delete(oldest);
        }
        this.seen.add(key);
        this.rounds.set(notice, 0);
        return true;
    }

    /** The own notice and at most eight others, those that leave first, so that a start of the whole fleet stays small. */
    list(): readonly DaemonNotice[] {
        const others = [...this.rounds.keys()];
        const sorted = [
            ...others.filter(({ leaving }) => leaving),
            ...others.filter(({ leaving }) => !leaving),
        ];
        return [...(this.own === undefined ? [] : [this.own]), ...sorted.slice(0, maxNotices)];
    }

    /** Ends a round. */
    countRound(): void {
        for (const [notice, rounds] of this.rounds) {
            if (rounds + 1 >= this.maxRounds) {
                this.rounds.delete(notice);
            }
            else {
                this.rounds.set(notice, rounds + 1);
            }
        }
    }
}
