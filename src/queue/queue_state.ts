import type { UpstreamState } from "../core/upstream_state.ts";

/** The part of an upstream's state that its queue measures. */
export type QueueState = Omit<UpstreamState, "healthScore" | "leaving" | "faultProbability">;
