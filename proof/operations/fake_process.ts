import type { Clock } from "../../src/core/clock.ts";
import type { Timer } from "../../src/core/timer.ts";
import type { Timers } from "../../src/core/timers.ts";
import type { EventLoopTurns } from "../../src/dispatch/event_loop_turns.ts";
import type { VirtualTime } from "../fakes/virtual_time.ts";

/** One process: neither timers nor sockets are handled during a pause; after it, overdue timers run first. */
export class FakeProcess implements Clock, Timers, EventLoopTurns {
    private alive = true;
    private paused = false;
    private wallOffsetMs = 0;
    private readonly overdueTimers: (() => void)[] = [];
    private unreadMessages: (() => void)[] = [];

    constructor(private readonly time: VirtualTime) {}

    getMonotonicMs(): number {
        return this.time.getMonotonicMs();
    }

    getWallMs(): number {
        return this.time.getWallMs() + this.wallOffsetMs;
    }

    addWallMs(offsetMs: number): void {
        this.wallOffsetMs += offsetMs;
    }

    start(delayMs: number, action: () => void): Timer {
        let closed = false;
        const runDue = () => {
            if (this.paused) {
                this.overdueTimers.push(runDue);
            }
            else if (this.alive && !closed) {
                action();
            }
        };
        this.time.start(delayMs, runDue);
        return { close: () => void (closed = true) };
    }

    async wait(count: number): Promise<void> {
        for (let turn = 0; turn < count; turn += 1) {
            await new Promise<void>(resolve => this.start(0, () => resolve()));
        }
    }

    /** Handles a message from a socket after all unread ones. */
    handle(action: () => void): void {
        if (this.paused || this.unreadMessages.length > 0) {
            this.unreadMessages.push(action);
        }
        else if (this.alive) {
            action();
        }
    }

    /** Pauses the process. */
    stop(durationMs: number): void {
        if (this.paused) {
            return;
        }
        this.paused = true;
        this.time.start(durationMs, () => {
            this.paused = false;
            this.overdueTimers.splice(0).forEach(runDue => runDue());
            this.start(0, () => this.readSockets());
        });
    }

    close(): void {
        this.alive = false;
    }

    isAlive(): boolean {
        return this.alive;
    }

    private readSockets(): void {
        const actions = this.unreadMessages;
        this.unreadMessages = [];
        actions.forEach(action => this.handle(action));
    }
}
