import type { UpstreamState } from "../core/upstream_state.ts";

/** After this time in milliseconds a reported queue state has no more weight; queues change within seconds. */
const stateLifeMs = 2_000;

/** Load of one upstream as this sender sees it: its own requests in flight and the last reported queue state. */
export class ObservedLoad {
    private inFlight = 0;
    private slots = 1;
    private othersBusy = 0;
    private reportedAtMs = Number.NEGATIVE_INFINITY;

    addRequest(): void {
        this.inFlight += 1;
    }

    removeRequest(): void {
        this.inFlight = Math.max(0, this.inFlight - 1);
    }

    countInFlight(): number {
        return this.inFlight;
    }

    /** Takes the state that a reply carried. The own requests in it are counted here already. */
    update(state: UpstreamState, nowMs: number): void {
        this.slots = Math.max(1, state.slots);
        const busy = state.running + state.queuedShort + state.queuedLong;
        this.othersBusy = Math.max(0, busy - this.inFlight);
        this.reportedAtMs = nowMs;
    }

    /** Requests per slot, 0 when idle; the reported part fades with its age. */
    measure(nowMs: number): number {
        const freshness = Math.max(0, 1 - (nowMs - this.reportedAtMs) / stateLifeMs);
        return (this.inFlight + this.othersBusy * freshness) / this.slots;
    }
}
