/**
 * Measures pauses of this process, so that they do not count as slow answers of an upstream. A timer that
 * fires late shows a pause. Timers run before sockets are read, so a pause is known before the answers that
 * arrived during it are handled.
 *
 * @example
 * ```ts
 * const pauses = new PauseMeter({ clock, timers });
 * const pausedMs = pauses.measurePausedMs(startedAtMs, clock.getMonotonicMs());
 * pauses.close();
 * ```
 *
 * @module
 */
import type { Clock } from "../core/clock.ts";
import type { Timer } from "../core/timer.ts";
import type { Timers } from "../core/timers.ts";
import type { EventLoopDelayReader } from "../metrics/event_loop_delay_reader.ts";
import type { EventLoopDelays } from "../metrics/event_loop_delays.ts";
import type { PauseReader } from "./pause_reader.ts";

/** Interval of the timer in milliseconds. */
const intervalMs = 50;

/** Delay of the timer in milliseconds up to which it counts as ordinary scheduling. */
const toleranceMs = 15;

/** Pauses kept; fewer occur within the longest deadline of a request. */
const maxPauses = 64;

interface Options {
    readonly clock: Clock;
    readonly timers: Timers;
}

interface Pause {
    readonly fromMs: number;
    readonly toMs: number;
}

/** Keeps the recent pauses and sums the delays of its timer. */
export class PauseMeter implements PauseReader, EventLoopDelayReader {
    private readonly pauses: Pause[] = [];
    private delays = { count: 0, sumMs: 0, largestMs: 0 };
    private dueAtMs = 0;
    private timer: Timer | undefined;

    constructor(private readonly options: Options) {
        this.startTimer();
    }

    measurePausedMs(fromMs: number, toMs: number): number {
        const nowMs = this.options.clock.getMonotonicMs();
        const running = nowMs > this.dueAtMs + toleranceMs ? [{ fromMs: this.dueAtMs, toMs: nowMs }] : [];
        let pausedMs = 0;
        for (const pause of [...this.pauses, ...running]) {
            pausedMs += Math.max(0, Math.min(toMs, pause.toMs) - Math.max(fromMs, pause.fromMs));
        }
        return pausedMs;
    }

    takeDelays(): EventLoopDelays {
        const { count, largestMs, sumMs } = this.delays;
        this.delays = { count: 0, sumMs: 0, largestMs: 0 };
        return { largestMs, meanMs: sumMs / Math.max(1, count) };
    }

    close(): void {
        this.timer?.close();
    }

    private startTimer(): void {
        this.dueAtMs = this.options.clock.getMonotonicMs() + intervalMs;
        this.timer = this.options.timers.start(intervalMs, () => {
            const nowMs = this.options.clock.getMonotonicMs();
            this.addDelay(Math.max(0, nowMs - this.dueAtMs));
            if (nowMs > this.dueAtMs + toleranceMs) {
                this.pauses.push({ fromMs: this.dueAtMs, toMs: nowMs });
                this.pauses.splice(0, this.pauses.length - maxPauses);
            }
            this.startTimer();
        });
    }

    private addDelay(delayMs: number): void {
        this.delays.count += 1;
        this.delays.sumMs += delayMs;
        this.delays.largestMs = Math.max(this.delays.largestMs, delayMs);
    }
}
