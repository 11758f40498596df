import type { LeavingNotice } from "./leaving_notice.ts";

/** Leaving notices that this daemon passes on, each for a limited number of rounds. */
export class NoticeBoard {
    private own: LeavingNotice | undefined;
    private readonly rounds = new Map<LeavingNotice, number>();

    /**
     * `limit` is the number of rounds in which a notice is passed on. In each round a daemon meets two others on
     * average, one that it chooses and one that chooses it.
     */
    constructor(private readonly limit = 8) {}

    /** The own notice stays for as long as the daemon runs. */
    setOwn(notice: LeavingNotice): void {
        this.own = notice;
    }

    /** Passes on a notice that was new to this daemon. */
    add(notice: LeavingNotice): void {
        this.rounds.set(notice, 0);
    }

    list(): readonly LeavingNotice[] {
        return [...(this.own === undefined ? [] : [this.own]), ...this.rounds.keys()];
    }

    /** Ends a round. */
    update(): void {
        for (const [notice, rounds] of this.rounds) {
            if (rounds + 1 >= this.limit) {
                this.rounds.delete(notice);
            }
            else {
                this.rounds.set(notice, rounds + 1);
            }
        }
    }
}
