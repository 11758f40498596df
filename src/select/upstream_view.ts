import type { UpstreamState } from "../core/upstream_state.ts";
import { computeDecayedProbability } from "../health/compute_decayed_probability.ts";
import { ObservedLoad } from "./observed_load.ts";
import type { SelectionBasis } from "./selection_basis.ts";

/** Information of one entry daemon about one upstream. */
export class UpstreamView {
    readonly load = new ObservedLoad();
    private probability = computeDecayedProbability(0, Infinity);
    private state: UpstreamState | undefined;
    private reportedAtMs = -Infinity;
    /** Time of the last attempt that this entry daemon sent to it. */
    private attemptedAtMs = -Infinity;

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

    /**
     * The last reported state with the fault probability decayed to `nowMs`; undefined when none is known.
     */
    getState(nowMs: number): UpstreamState | undefined {
        return this.state === undefined
            ? undefined
            : { ...this.state, faultProbability: this.getFaultProbability(nowMs) };
    }

    /** Basis of a selection, for the log. */
    buildBasis(nowMs: number): Pick<SelectionBasis, "faultProbability" | "ageMs" | "load"> {
        return {
            faultProbability: this.getFaultProbability(nowMs),
            ageMs: nowMs - this.reportedAtMs,
            load: this.load.measure(nowMs),
        };
    }

    /** Milliseconds since the last report or attempt. */
    getStalenessMs(nowMs: number): number {
        return nowMs - Math.max(this.reportedAtMs, this.attemptedAtMs);
    }
}
