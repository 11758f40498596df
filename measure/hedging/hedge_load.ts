import type { RandomSource } from "../../src/core/random_source.ts";

/** Load on one service whose requests may all be repeated. */
export interface HedgeLoad {
    readonly name: string;
    readonly upstreams: number;
    readonly slots: number;
    readonly requestsPerSecond: number;
    /** Milliseconds; 0 when the route has no target. */
    readonly targetMs: number;
    readonly deadlineMs: number;
    /** Milliseconds that an attempt takes at an upstream. */
    readonly getServiceMs: (random: RandomSource, upstreamIndex: number, nowMs: number) => number;
}
