import type { UpstreamState } from "../core/upstream_state.ts";
import type { LoadReport } from "./load_report.ts";

/** Age in milliseconds at which a reported queue state has no weight; queues change within seconds. */
const stateMaxAgeMs = 2_000;

/** Load of one upstream from this entry daemon's own requests in flight and the last reported queue state. */
export class ObservedLoad {
    /** Time at which each request in flight becomes overdue, by key of the attempt. */
    private readonly inFlight = new Map<string, number>();
    private otherRequests = 0;
    private waitMs = 0;
    private reportedAtMs = Number.NEGATIVE_INFINITY;

    /** `slots` counts until the first report. */
    constructor(private slots = 1) {}

    addRequest(key: string, overdueAtMs: number): void {
        this.inFlight.set(key, overdueAtMs);
    }

    removeRequest(key: string): void {
        this.inFlight.delete(key);
    }

    countInFlight(): number {
        return this.inFlight.size;
    }

    /** True while a request is in flight for longer than service, queue and path should take. */
    hasOverdue(nowMs: number): boolean {
        return [...this.inFlight.values()].some(overdueAtMs => overdueAtMs < nowMs);
    }

    /** Applies a reported state. Requests of this daemon in it are not counted twice. */
    update(state: UpstreamState, nowMs: number): void {
        this.slots = Math.max(1, state.slots);
        const busy = state.running + state.queuedShort + state.queuedLong;
        this.otherRequests = Math.max(0, busy - this.inFlight.size);
        this.waitMs = Math.max(state.waitShortMs, state.waitLongMs);
        this.reportedAtMs = nowMs;
    }

    getReport(): LoadReport {
        const { inFlight, otherRequests: others, reportedAtMs, slots } = this;
        return { slots, inFlight: inFlight.size, others, reportedAtMs };
    }

    /** Longest wait in milliseconds in the last report. */
    getWaitMs(): number {
        return this.waitMs;
    }

    /** Weight of the last reported state: 1 when it is new, 0 when it is too old or there is none. */
    getFreshness(nowMs: number): number {
        return Math.max(0, 1 - (nowMs - this.reportedAtMs) / stateMaxAgeMs);
    }

    /** Requests per slot, 0 when idle; the weight of the reported part decreases with its age. */
    measure(nowMs: number): number {
        return (this.inFlight.size + this.otherRequests * this.getFreshness(nowMs)) / this.slots;
    }
}
