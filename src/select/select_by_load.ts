import type { RandomSource } from "../core/random_source.ts";
import type { Upstream } from "../core/upstream.ts";

/** A nearer upstream is taken while it has less than this many requests per slot; then farther ones compete. */
const nearLoadLimit = 0.75;

/**
 * Share of the selections that do not prefer the own failure domain. Without them a sender would know too few other
 * upstreams to compare one with, and their queues only from the time of the last overload.
 */
const exploreShare = 0.25;

interface Options {
    readonly random: RandomSource;
    readonly failureDomain: string;
    readonly region: string;
    /** Requests per slot. */
    readonly getLoad: (upstream: Upstream) => number;
    /** Share of the full weight, above 0 and at most 1. */
    readonly getWeight: (upstream: Upstream) => number;
}

interface Choice {
    readonly upstream: Upstream;
    readonly load: number;
}

/**
 * Selects by the power of two random choices, mostly in the own failure domain while it has room, then in the
 * region, then anywhere. Undefined when there is no candidate.
 */
export function selectByLoad(candidates: readonly Upstream[], options: Options): Upstream | undefined {
    const near = options.random.getFloat() < exploreShare
        ? []
        : candidates.filter(candidate => candidate.failureDomain === options.failureDomain);
    const tiers = [near, candidates.filter(candidate => candidate.region === options.region), candidates];
    let best: Choice | undefined;
    for (const tier of tiers) {
        const choice = selectOfTwo(tier, options);
        if (choice !== undefined && (best === undefined || choice.load < best.load)) {
            best = choice;
        }
        if (best !== undefined && best.load < nearLoadLimit) {
            break;
        }
    }
    return best?.upstream;
}

function selectOfTwo(tier: readonly Upstream[], options: Options): Choice | undefined {
    const first = takeWeighted(tier, options);
    if (first === undefined) {
        return undefined;
    }
    const second = takeWeighted(tier.filter(candidate => candidate !== first), options) ?? first;
    const firstLoad = options.getLoad(first);
    const secondLoad = options.getLoad(second);
    return secondLoad < firstLoad
        ? { upstream: second, load: secondLoad }
        : { upstream: first, load: firstLoad };
}

function takeWeighted(tier: readonly Upstream[], options: Options): Upstream | undefined {
    const weights = tier.map(options.getWeight);
    let rest = options.random.getFloat() * weights.reduce((sum, weight) => sum + weight, 0);
    for (const [index, weight] of weights.entries()) {
        rest -= weight;
        if (rest < 0) {
            return tier[index];
        }
    }
    return tier.at(-1);
}
