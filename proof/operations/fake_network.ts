import type { RandomSource } from "../../src/core/random_source.ts";
import type { VirtualTime } from "../fakes/virtual_time.ts";

/** Links between daemons. Messages are delayed independently, so that they can be reordered. */
export class FakeNetwork {
    private readonly lossEndMsByLink = new Map<string, number>();

    constructor(private readonly time: VirtualTime, private readonly random: RandomSource) {}

    /** Loses all messages in one direction for `durationMs`. */
    close(from: string, to: string, durationMs: number): void {
        this.lossEndMsByLink.set(`${from} ${to}`, this.time.getMonotonicMs() + durationMs);
    }

    /** Delivers 0, 1 or 2 copies; returns false when the message is lost. */
    send(from: string, to: string, deliver: () => void): boolean {
        const lossEndMs = this.lossEndMsByLink.get(`${from} ${to}`) ?? 0;
        if (from !== to && (this.time.getMonotonicMs() < lossEndMs || this.random.getFloat() < 0.03)) {
            return false;
        }
        this.time.start(this.getRandomDelayMs(), deliver);
        if (from !== to && this.random.getFloat() < 0.05) {
            this.time.start(this.getRandomDelayMs(), deliver);
        }
        return true;
    }

    /** Usually a few milliseconds, sometimes longer than the time budget of a request. */
    private getRandomDelayMs(): number {
        return this.random.getFloat() < 0.1
            ? 50 + 450 * this.random.getFloat()
            : 1 + 3 * this.random.getFloat();
    }
}
