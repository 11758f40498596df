import type { RandomSource } from "../../src/core/random_source.ts";
import type { WorkClass } from "../../src/core/work_class.ts";
import type { QueueState } from "../../src/queue/queue_state.ts";

interface ObservedUpstream {
    /** Requests in flight from this selector, by class because queued long work does not delay short work. */
    readonly inFlight: Record<WorkClass, number>;
    state: QueueState | undefined;
}

/** Fake selector: the better of two random upstreams by the last reported wait and its own requests. */
export class TwoChoiceSelector {
    private readonly observed = new Map<string, ObservedUpstream>();

    constructor(private readonly random: RandomSource, private readonly upstreamIds: readonly string[]) {
        for (const id of upstreamIds) {
            this.observed.set(id, { inFlight: { short: 0, long: 0 }, state: undefined });
        }
    }

    select(workClass: WorkClass, serviceMs: number, excluded: ReadonlySet<string>): string | undefined {
        const candidates = this.upstreamIds.filter(id => !excluded.has(id));
        const left = candidates[Math.floor(this.random.getFloat() * candidates.length)];
        const right = candidates[Math.floor(this.random.getFloat() * candidates.length)];
        if (left === undefined || right === undefined) {
            return undefined;
        }
        return this.computeCost(left, workClass, serviceMs) <= this.computeCost(right, workClass, serviceMs)
            ? left
            : right;
    }

    recordStart(id: string, workClass: WorkClass): void {
        this.observed.get(id)!.inFlight[workClass] += 1;
    }

    recordReply(id: string, workClass: WorkClass, state: QueueState | undefined): void {
        const observed = this.observed.get(id)!;
        observed.inFlight[workClass] -= 1;
        observed.state = state ?? observed.state;
    }

    private computeCost(id: string, workClass: WorkClass, serviceMs: number): number {
        const { inFlight, state } = this.observed.get(id)!;
        const waitMs = (workClass === "long" ? state?.waitLongMs : state?.waitShortMs) ?? 0;
        return waitMs + ((state?.running ?? 0) + inFlight[workClass]) * serviceMs / (state?.slots ?? 1);
    }
}
