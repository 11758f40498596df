import type { UpstreamState } from "../core/upstream_state.ts";
import { NewsClass } from "./news_class.ts";

/** Probability of a fault above which an upstream counts as failing. */
const failingLimit = 0.25;

export function decideNewsClass({ faultProbability, leaving }: UpstreamState): NewsClass {
    if (leaving) {
        return NewsClass.Leaving;
    }
    return faultProbability > failingLimit ? NewsClass.Failing : NewsClass.Working;
}
