import type { RandomSource } from "../core/random_source.ts";
import type { Upstream } from "../core/upstream.ts";

/** Requests per slot from which on upstreams of the next farther tier are considered too. */
const localLoadLimit = 0.75;

/**
 * Share of the selections that do not prefer the local failure domain. Without them an entry daemon would
 * have results of too few other upstreams to compare one with, and would know their queues only from the last
 * overload.
 */
const crossDomainShare = 0.25;

interface Options {
    readonly random: RandomSource;
    readonly failureDomain: string;
    readonly region: string;
    /** Requests per slot. */
    readonly getLoad: (upstream: Upstream) => number;
    /** Fraction of the full weight, above 0 and at most 1. */
    readonly getWeight: (upstream: Upstream) => number;
}

interface Choice {
    readonly upstream: Upstream;
    readonly load: number;
}

/**
 * Selects by the power of two random choices: mostly in the local failure domain while it has capacity, then
 * in the region, then anywhere. Undefined when there is no candidate.
 */
export function selectByLoad(candidates: readonly Upstream[], options: Options): Upstream | undefined {
    const local = options.random.getFloat() < crossDomainShare
        ? []
        : candidates.filter(candidate => candidate.failureDomain === options.failureDomain);
    const tiers = [local, candidates.filter(candidate => candidate.region === options.region), candidates];
    let best: Choice | undefined;
    for (const tier of tiers) {
        const choice = selectOfTwo(tier, options);
        if (choice !== undefined && (best === undefined || choice.load < best.load)) {
            best = choice;
        }
        if (best !== undefined && best.load < localLoadLimit) {
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
    let remaining = options.random.getFloat() * weights.reduce((sum, weight) => sum + weight, 0);
    for (const [index, weight] of weights.entries()) {
        remaining -= weight;
        if (remaining < 0) {
            return tier[index];
        }
    }
    return tier.at(-1);
}
