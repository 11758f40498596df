/**
 * Decides whether the last free slot of an upstream is kept for more urgent requests.
 *
 * Load: short urgent requests with a tight target and larger, less urgent ones share a few slots. When all
 * slots run large requests, an urgent one waits until the first of them ends.
 *
 * @example
 * ```ts
 * reserve.record(route, { costMs: 50, neededMs: 90 }, nowMs);
 * if (reserve.isReserved({ priority: 2, slots: 2, running, nowMs })) {
 *     return;
 * }
 * ```
 *
 * @module
 */
import type { RouteConfig } from "../config/route_config.ts";
import { PriorityLoad } from "./priority_load.ts";
import type { RunningRequests } from "./running_requests.ts";

interface Arrival {
    /** Expected service time in milliseconds. */
    readonly costMs: number;
    /** Service time in milliseconds that must be left for the request after a wait. */
    readonly neededMs: number;
}

/** Estimates for the latest request of a priority. */
interface Latest {
    readonly costMs: number;
    /** Longest wait in milliseconds with which it meets its target. */
    readonly longestWaitMs: number;
    /** Monotonic milliseconds of the arrival. */
    readonly atMs: number;
}

interface SlotUse {
    readonly priority: number;
    readonly slots: number;
    readonly running: RunningRequests;
    /** Monotonic. */
    readonly nowMs: number;
}

/** Milliseconds after which an arrival says nothing about the next one of its priority. */
const latestLifeMs = 2_000;
/** Load of more urgent requests, in slots, from which on the last free slot may be reserved for them. */
const reservedSlotLoad = 0.2;

/**
 * Keeps the last free slot for more urgent requests only while they are frequent and would miss their target
 * behind busy slots. With two slots a reserved one is half of the capacity, so urgent requests that can wait
 * for the next slot to become free are no reason to leave one unused.
 */
export class SlotReserve {
    private readonly load = new PriorityLoad();
    private readonly latestByPriority = new Map<number, Latest>();

    /** Records the arrival of a request. Routes without a target cannot wait. */
    record({ priority, targetMs }: RouteConfig, { costMs, neededMs }: Arrival, nowMs: number): void {
        this.load.record(priority, costMs, nowMs);
        this.latestByPriority.set(priority, { costMs, longestWaitMs: targetMs - neededMs, atMs: nowMs });
    }

    /** True when a request of the priority must leave the only free slot to more urgent ones. */
    isReserved({ nowMs, priority, running, slots }: SlotUse): boolean {
        if (slots <= 1 || running.count() !== slots - 1) {
            return false;
        }
        if (this.load.getMoreUrgentSlots(priority, nowMs) < reservedSlotLoad) {
            return false;
        }
        const costMs = this.latestByPriority.get(priority)?.costMs ?? Infinity;
        const nextFreeMs = 1 / (running.computeEndRate(nowMs) + 1 / costMs);
        return this.getLongestWaitMs(priority, nowMs) < nextFreeMs;
    }

    /** Longest wait in milliseconds that all more urgent priorities can bear. */
    private getLongestWaitMs(priority: number, nowMs: number): number {
        let waitMs = Infinity;
        for (const [other, { atMs, longestWaitMs }] of this.latestByPriority) {
            const isRecent = nowMs - atMs <= latestLifeMs;
            waitMs = other < priority && isRecent ? Math.min(waitMs, longestWaitMs) : waitMs;
        }
        return waitMs;
    }
}
