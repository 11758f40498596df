import type { UpstreamState } from "../core/upstream_state.ts";

/** State of an upstream, as passed on from daemon to daemon. */
export interface UpstreamReport {
    readonly state: UpstreamState;
    /** Grows with each report of the owner, also over a restart. */
    readonly sequence: number;
    /** Milliseconds since the owner made the report. */
    readonly ageMs: number;
}
