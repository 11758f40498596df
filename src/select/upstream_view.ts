import type { UpstreamState } from "../core/upstream_state.ts";
import { computeDecayedProbability } from "../health/compute_decayed_probability.ts";
import type { BackgroundLoad } from "./background_load.ts";
import { computeOccupancy } from "./compute_occupancy.ts";
import { ObservedLoad } from "./observed_load.ts";
import type { SelectionBasis } from "./selection_basis.ts";
import { TrialPacing } from "./trial_pacing.ts";

/** Information of one entry daemon about one upstream. */
export class UpstreamView {
    readonly load: ObservedLoad;
    readonly trials = new TrialPacing();
    private probability = computeDecayedProbability(0, Infinity);
    private state: UpstreamState | undefined;
    private reportedAtMs = -Infinity;
    /** Time of the last attempt that this entry daemon sent to it. */
    private attemptedAtMs = -Infinity;

    /** `slots` are those of the instance list, until the owner reports others. */
    constructor(slots = 1) {
        this.load = new ObservedLoad(slots);
    }

    /** Applies the state that the owner reported at `atMs`, unless a newer one is known. */
    update(state: UpstreamState, atMs: number): void {
        if (atMs < this.reportedAtMs) {
            return;
        }
        this.state = state;
        this.probability = state.faultProbability;
        this.reportedAtMs = atMs;
        this.load.update(state, atMs);
    }

    recordAttempt(atMs: number): void {
        this.attemptedAtMs = atMs;
    }

    /** Estimated probability that the upstream has a fault now. */
    getFaultProbability(nowMs: number): number {
        return computeDecayedProbability(this.probability, nowMs - this.reportedAtMs);
    }

    /** The last reported state with fault probability and load as expected now; undefined when none is known. */
    getState(background: BackgroundLoad, nowMs: number): UpstreamState | undefined {
        if (this.state === undefined) {
            return undefined;
        }
        const { slots } = this.state;
        const { freshness, load } = this.computeOccupancy(background, nowMs);
        const requests = Math.round(load * slots);
        return {
            ...this.state,
            running: Math.min(slots, requests),
            queuedShort: Math.max(0, requests - slots),
            queuedLong: 0,
            waitShortMs: freshness * this.state.waitShortMs,
            waitLongMs: freshness * this.state.waitLongMs,
            faultProbability: this.getFaultProbability(nowMs),
        };
    }

    /** Basis of a selection, for the log. */
    buildBasis(
        background: BackgroundLoad,
        nowMs: number,
    ): Pick<SelectionBasis, "faultProbability" | "ageMs" | "load" | "fullProbability"> {
        const { fullProbability, load } = this.computeOccupancy(background, nowMs);
        return {
            faultProbability: this.getFaultProbability(nowMs),
            ageMs: nowMs - this.reportedAtMs,
            load,
            fullProbability,
        };
    }

    /** Expected requests at the upstream now. */
    computeOccupancy(background: BackgroundLoad, nowMs: number): ReturnType<typeof computeOccupancy> {
        return computeOccupancy(this.load.getReport(), background, nowMs);
    }

    /** Milliseconds since the last report or attempt. */
    getStalenessMs(nowMs: number): number {
        return nowMs - Math.max(this.reportedAtMs, this.attemptedAtMs);
    }
}
