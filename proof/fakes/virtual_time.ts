/**
 * Clock and timers that a test advances explicitly.
 *
 * @example
 * ```ts
 * const time = new VirtualTime();
 * time.start(100, () => console.log(time.getMonotonicMs()));
 * await time.run(1_000);
 * ```
 *
 * @module
 */
import type { Clock } from "../../src/core/clock.ts";
import type { Timer } from "../../src/core/timer.ts";
import type { Timers } from "../../src/core/timers.ts";

interface TimerEntry {
    readonly atMs: number;
    readonly order: number;
    readonly action: () => void;
}

/** Virtual clock whose timers run in order of their due time, then of their start. */
export class VirtualTime implements Clock, Timers {
    private nowMs = 0;
    private nextOrder = 0;
    private readonly heap: TimerEntry[] = [];
    private readonly closed = new Set<TimerEntry>();

    constructor(private readonly wallStartMs = 1_700_000_000_000) {}

    getMonotonicMs(): number {
        return this.nowMs;
    }

    getWallMs(): number {
        return this.wallStartMs + this.nowMs;
    }

    start(delayMs: number, action: () => void): Timer {
        const entry = { atMs: this.nowMs + Math.max(0, delayMs), order: this.nextOrder++, action };
        this.add(entry);
        return { close: () => void this.closed.add(entry) };
    }

    /** Advances time by `durationMs`, running due timers and settling promises after each of them. */
    async run(durationMs: number): Promise<void> {
        const endMs = this.nowMs + durationMs;
        await waitForPromises();
        for (let entry = this.heap[0]; entry !== undefined && entry.atMs <= endMs; entry = this.heap[0]) {
            this.remove();
            if (this.closed.delete(entry)) {
                continue;
            }
            // After a pause, overdue timers run late, and the clock stays monotonic.
            this.nowMs = Math.max(this.nowMs, entry.atMs);
            entry.action();
            await waitForPromises();
        }
        this.nowMs = endMs;
    }

    /** Advances time without running timers, as in a paused process. */
    addPause(durationMs: number): void {
        this.nowMs += durationMs;
    }

    private add(entry: TimerEntry): void {
        const heap = this.heap;
        let index = heap.push(entry) - 1;
        while (index > 0) {
            const parent = (index - 1) >> 1;
            if (isBefore(heap[parent]!, entry)) {
                break;
            }
            heap[index] = heap[parent]!;
            index = parent;
        }
        heap[index] = entry;
    }

    private remove(): void {
        const heap = this.heap;
        const last = heap.pop()!;
        if (heap.length === 0) {
            return;
        }
        let index = 0;
        for (;;) {
            let child = 2 * index + 1;
            if (child >= heap.length) {
                break;
            }
            if (child + 1 < heap.length && isBefore(heap[child + 1]!, heap[child]!)) {
                child += 1;
            }
            if (isBefore(last, heap[child]!)) {
                break;
            }
            heap[index] = heap[child]!;
            index = child;
        }
        heap[index] = last;
    }
}

function isBefore(left: TimerEntry, right: TimerEntry): boolean {
    return left.atMs < right.atMs || (left.atMs === right.atMs && left.order < right.order);
}

function waitForPromises(): Promise<void> {
    return new Promise(resolve => setImmediate(resolve));
}
