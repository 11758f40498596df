import type { Clock } from "../../../src/core/clock.ts";
import type { VirtualTime } from "../../fakes/virtual_time.ts";
import { PausableTimers } from "./pausable_timers.ts";

/**
 * One process that can be stopped: what arrives meanwhile lies in its sockets, and is handled after its overdue timers
 * when it continues. Its wall clock can be set.
 */
export class PausableProcess {
    readonly timers: PausableTimers;
    readonly clock: Clock;
    wallOffsetMs = 0;
    private paused = false;
    private closed = false;
    private inbox: (() => void)[] = [];

    constructor(private readonly time: VirtualTime) {
        this.timers = new PausableTimers(time);
        this.clock = {
            getMonotonicMs: () => time.getMonotonicMs(),
            getWallMs: () => time.getWallMs() + this.wallOffsetMs,
        };
    }

    isRunning(): boolean {
        return !this.paused && !this.closed;
    }

    /** Runs `action` after a delay in milliseconds as soon as the process is not stopped. */
    runAfter(delayMs: number, action: () => void): void {
        this.time.start(delayMs, () => {
            if (this.paused) {
                this.inbox.push(action);
            }
            else if (!this.closed) {
                action();
            }
        });
    }

    stop(): void {
        this.paused = true;
        this.timers.setPaused(true);
    }

    /** Continues the process; `check` is called before and after each step. */
    start(check: () => void): void {
        if (!this.paused || this.closed) {
            return;
        }
        this.paused = false;
        check();
        this.timers.setPaused(false);
        check();
        for (const action of this.inbox.splice(0)) {
            action();
            check();
        }
    }

    close(): void {
        this.closed = true;
        this.timers.close();
    }
}
