import type { Timer } from "../../../src/core/timer.ts";
import type { Timers } from "../../../src/core/timers.ts";

/** Timers of one process: none runs during a pause, and all overdue ones run at its end. */
export class PausableTimers implements Timers {
    private paused = false;
    private stopped = false;
    private readonly overdue: (() => void)[] = [];

    constructor(private readonly timers: Timers) {}

    start(delayMs: number, action: () => void): Timer {
        let open = true;
        const runOnce = () => {
            if (open && !this.stopped) {
                open = false;
                action();
            }
        };
        const timer = this.timers.start(
            delayMs,
            () => this.paused ? void this.overdue.push(runOnce) : runOnce(),
        );
        return {
            close: () => {
                open = false;
                timer.close();
            },
        };
    }

    setPaused(paused: boolean): void {
        this.paused = paused;
        for (const action of paused ? [] : this.overdue.splice(0)) {
            action();
        }
    }

    /** Stops the process: no timer runs from now on. */
    close(): void {
        this.stopped = true;
    }
}
