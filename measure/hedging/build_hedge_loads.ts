import type { RandomSource } from "../../src/core/random_source.ts";
import { getLognormal } from "../load/get_lognormal.ts";
import type { HedgeLoad } from "./hedge_load.ts";

const meanMs = 100;
const variation = 0.3;
/** Span of virtual time in milliseconds in which all upstreams are slow. */
const slowFromMs = 20_000;
const slowUntilMs = 40_000;

function getNormalMs(random: RandomSource): number {
    return getLognormal(random, meanMs, variation);
}

/** A service of 20 upstreams with two slots each, under the loads that a hedging policy is made for or must bear. */
export function buildHedgeLoads(): readonly HedgeLoad[] {
    const base = { upstreams: 20, slots: 2, requestsPerSecond: 120, targetMs: 400, deadlineMs: 2_000 };
    const getTailMs = (random: RandomSource) => getNormalMs(random) * (random.getFloat() < 0.03 ? 8 : 1);
    return [
        { ...base, name: "slow tail: 3% of attempts take 8 times as long", getServiceMs: getTailMs },
        { ...base, name: "slow tail, no target", targetMs: 0, getServiceMs: getTailMs },
        {
            ...base,
            name: "slow upstreams: 2 of 20 take 6 times as long",
            getServiceMs: (random, upstreamIndex) => getNormalMs(random) * (upstreamIndex < 2 ? 6 : 1),
        },
        {
            ...base,
            name: "correlated slowness: all take 3 times as long for 20 s",
            getServiceMs: (random, _, nowMs) =>
                getNormalMs(random) * (nowMs >= slowFromMs && nowMs < slowUntilMs ? 3 : 1),
        },
        {
            ...base,
            name: "overload: 1.2 times the slots, with the slow tail",
            requestsPerSecond: 1.2 * 40 / 0.121,
            getServiceMs: getTailMs,
        },
    ];
}
