import type { UpstreamState } from "../core/upstream_state.ts";

/** Receives the states of upstreams that other daemons report. */
export interface StateObserver {
    recordState(state: UpstreamState, nowMs: number): void;
}
