import { WorkClass } from "../core/work_class.ts";
import { computeFluidWait } from "./compute_fluid_wait.ts";

/** A request that holds a slot. */
interface Running {
    readonly workClass: WorkClass;
    /** Monotonic milliseconds. */
    readonly startedAtMs: number;
    /** Expected service time in milliseconds, and its mean deviation. */
    readonly meanMs: number;
    readonly deviationMs: number;
}

/** The requests that hold a slot of one upstream. */
export class RunningWork {
    private readonly entries = new Set<Running>();

    add(entry: Running): void {
        this.entries.add(entry);
    }

    /** False when the entry has been removed before. */
    remove(entry: Running): boolean {
        return this.entries.delete(entry);
    }

    count(): number {
        return this.entries.size;
    }

    /** Mean expected service time in milliseconds; 0 when nothing runs. */
    getMeanMs(): number {
        let sumMs = 0;
        for (const { meanMs } of this.entries) {
            sumMs += meanMs;
        }
        return this.entries.size === 0 ? 0 : sumMs / this.entries.size;
    }

    countClass(workClass: WorkClass): number {
        let count = 0;
        for (const entry of this.entries) {
            count += entry.workClass === workClass ? 1 : 0;
        }
        return count;
    }

    /** Expected wait in milliseconds of new work of a class behind `aheadMs` of queued work of the class. */
    computeWaitMs(
        workClass: WorkClass,
        aheadMs: number,
        slots: number,
        longSlots: number,
        nowMs: number,
    ): number {
        return computeFluidWait(this.listFreeAfterMs(workClass, slots, longSlots, nowMs), aheadMs);
    }

    /**
     * Times in milliseconds after which the slots that a class can use become free. Short work counts on the slots
     * that long work does not hold; long work counts on its share, of which short work may hold a part.
     */
    private listFreeAfterMs(workClass: WorkClass, slots: number, longSlots: number, nowMs: number): number[] {
        const own: number[] = [];
        const others: number[] = [];
        for (const entry of this.entries) {
            const leftMs = Math.max(entry.startedAtMs + entry.meanMs - nowMs, entry.deviationMs);
            (entry.workClass === workClass ? own : others).push(leftMs);
        }
        const free = Array.from({ length: Math.max(0, slots - this.entries.size) }, () => 0);
        others.sort((left, right) => left - right);
        const wanted = workClass === WorkClass.Long ? longSlots : slots - others.length;
        const usable = [...own, ...free, ...others].slice(0, Math.max(own.length, wanted));
        return usable.length > 0 ? usable : others.slice(0, 1);
    }
}
