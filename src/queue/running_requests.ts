import { WorkClass } from "../core/work_class.ts";
import { computeQueueWait } from "./compute_queue_wait.ts";

/** A request that holds a slot. */
interface RunningRequest {
    readonly workClass: WorkClass;
    /** Monotonic milliseconds. */
    readonly startedAtMs: number;
    /** Expected service time in milliseconds, and its mean deviation. */
    readonly meanMs: number;
    readonly deviationMs: number;
}

/** Lower bound of an expected remaining time in milliseconds, the resolution of the timers. */
const minRemainingMs = 1;

/** The requests that hold a slot of one upstream. */
export class RunningRequests {
    private readonly entries = new Set<RunningRequest>();

    add(entry: RunningRequest): void {
        this.entries.add(entry);
    }

    /** False when the entry was already removed. */
    remove(entry: RunningRequest): boolean {
        return this.entries.delete(entry);
    }

    count(): number {
        return this.entries.size;
    }

    /** Mean expected service time in milliseconds; 0 when no request is running. */
    getMeanMs(): number {
        let sumMs = 0;
        for (const { meanMs } of this.entries) {
            sumMs += meanMs;
        }
        return this.entries.size === 0 ? 0 : sumMs / this.entries.size;
    }

    /**
     * Rate in requests per millisecond at which the running requests end. Each one ends after an exponential
     * time with its expected remaining time as the mean, so the rates add up.
     */
    computeEndRate(nowMs: number): number {
        let rate = 0;
        for (const entry of this.entries) {
            rate += 1 / Math.max(minRemainingMs, computeRemainingMs(entry, nowMs));
        }
        return rate;
    }

    countClass(workClass: WorkClass): number {
        let count = 0;
        for (const entry of this.entries) {
            count += entry.workClass === workClass ? 1 : 0;
        }
        return count;
    }

    /** Expected wait in milliseconds of a new request behind `aheadMs` of queued work of its class. */
    computeWaitMs(
        workClass: WorkClass,
        aheadMs: number,
        slots: number,
        longSlots: number,
        nowMs: number,
    ): number {
        return computeQueueWait(this.listSlotFreeTimes(workClass, slots, longSlots, nowMs), aheadMs);
    }

    /**
     * Times in milliseconds after which the slots that a class can use become free. Short requests can use
     * the slots that no long request holds; long requests can use their share, part of which short requests
     * may hold.
     */
    private listSlotFreeTimes(
        workClass: WorkClass,
        slots: number,
        longSlots: number,
        nowMs: number,
    ): number[] {
        const sameClass: number[] = [];
        const otherClass: number[] = [];
        for (const entry of this.entries) {
            (entry.workClass === workClass ? sameClass : otherClass).push(computeRemainingMs(entry, nowMs));
        }
        const free = Array.from({ length: Math.max(0, slots - this.entries.size) }, () => 0);
        otherClass.sort((left, right) => left - right);
        const slotLimit = workClass === WorkClass.Long ? longSlots : slots - otherClass.length;
        const usable = [...sameClass, ...free, ...otherClass].slice(0, Math.max(sameClass.length, slotLimit));
        return usable.length > 0 ? usable : otherClass.slice(0, 1);
    }
}

/** A request that takes longer than the mean is expected to take one mean deviation more. */
function computeRemainingMs({ deviationMs, meanMs, startedAtMs }: RunningRequest, nowMs: number): number {
    return Math.max(startedAtMs + meanMs - nowMs, deviationMs);
}
