/**
 * Detects pauses of this process with a periodic timer that fires late.
 *
 * @example
 * ```ts
 * const pauses = new PauseDetector({ clock, timers, turns: new ImmediateEventLoopTurns() });
 * pauses.start();
 * ```
 *
 * @module
 */
import type { Clock } from "../core/clock.ts";
import type { Timer } from "../core/timer.ts";
import type { Timers } from "../core/timers.ts";
import type { EventLoopTurns } from "./event_loop_turns.ts";
import type { PauseGuard } from "./pause_guard.ts";

interface Options {
    readonly clock: Clock;
    readonly timers: Timers;
    readonly turns: EventLoopTurns;
}

const periodMs = 100;
/** Delay of the timer above which the process counts as paused, from the design page. */
const pauseThresholdMs = 250;

/** Detects pauses, and reports until when data that arrived during a pause may be unread in sockets. */
export class PauseDetector implements PauseGuard {
    private timer: Timer | undefined;
    private expectedMs = Infinity;
    private resuming: Promise<void> | undefined;

    constructor(private readonly options: Options) {}

    start(): void {
        this.expectedMs = this.options.clock.getMonotonicMs() + periodMs;
        this.timer = this.options.timers.start(periodMs, () => {
            this.check();
            this.start();
        });
    }

    close(): void {
        this.timer?.close();
        this.expectedMs = Infinity;
    }

    isResuming(): boolean {
        this.check();
        return this.resuming !== undefined;
    }

    async wait(): Promise<void> {
        this.check();
        await this.resuming;
    }

    /** Compares the clock with the due time of the timer, because other timers may run before it. */
    private check(): void {
        const nowMs = this.options.clock.getMonotonicMs();
        if (nowMs - this.expectedMs <= pauseThresholdMs) {
            return;
        }
        this.expectedMs = nowMs + periodMs;
        const resuming = this.options.turns.wait(2).then(() => {
            if (this.resuming === resuming) {
                this.resuming = undefined;
            }
        });
        this.resuming = resuming;
    }
}
