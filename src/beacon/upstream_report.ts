import type { UpstreamState } from "../core/upstream_state.ts";

/** State of an upstream as forwarded between daemons. */
export interface UpstreamReport {
    readonly state: UpstreamState;
    /** Increases with each report of the owner, also across restarts unless its wall clock is set back. */
    readonly sequence: number;
    /** Milliseconds since the owner made the report. */
    readonly ageMs: number;
}
