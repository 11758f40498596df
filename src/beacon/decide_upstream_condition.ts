import type { UpstreamState } from "../core/upstream_state.ts";
import { UpstreamCondition } from "./upstream_condition.ts";

/** Fault probability above which an upstream counts as failing. */
const failingLimit = 0.25;

export function decideUpstreamCondition({ faultProbability, leaving }: UpstreamState): UpstreamCondition {
    if (leaving) {
        return UpstreamCondition.Leaving;
    }
    return faultProbability > failingLimit ? UpstreamCondition.Failing : UpstreamCondition.Healthy;
}
