import type { DaemonNotice } from "./daemon_notice.ts";

/** Largest number of other daemons' notices in one message; eight take about 400 bytes. */
const maxNotices = 8;

/** Notices that this daemon forwards, each for a limited number of rounds. */
export class NoticeBuffer {
    private own: DaemonNotice | undefined;
    private readonly rounds = new Map<DaemonNotice, number>();
    /** Keys of the notices that were added before, in order of arrival. */
    private readonly seen = new Set<string>();

    /**
     * `maxRounds` is the number of rounds in which a notice is forwarded; in each round a daemon exchanges
     * messages with two others on average, one that it selects and one that selects it. `maxSeen` is the
     * number of notices that are recognised as duplicates: at 7,200 starts and stops per day, 1,000 cover
     * three hours, and no notice circulates longer than a minute.
     */
    constructor(private readonly maxRounds = 8, private readonly maxSeen = 1_000) {}

    /** Sets the notice about this daemon, which is sent for as long as it runs. */
    setOwn(notice: DaemonNotice): void {
        this.own = notice;
    }

    /** Adds a notice to forward; returns false when it was added before. */
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

    /**
     * The notice about this daemon and at most eight others, leaving ones first. The limit keeps messages
     * small when the whole fleet starts.
     */
    list(): readonly DaemonNotice[] {
        const others = [...this.rounds.keys()];
        const sorted = [
            ...others.filter(({ leaving }) => leaving),
            ...others.filter(({ leaving }) => !leaving),
        ];
        return [...(this.own === undefined ? [] : [this.own]), ...sorted.slice(0, maxNotices)];
    }

    /** Counts a finished round and removes the notices that have been forwarded in `maxRounds` rounds. */
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
