import type { RouteConfig } from "../../src/config/route_config.ts";

/** Requests for one route at a given rate. */
export interface LoadStream {
    readonly name: string;
    readonly route: RouteConfig;
    /** Mean service time in milliseconds at full speed; the distribution is lognormal. */
    readonly serviceMs: number;
    /** Standard deviation of the service time divided by its mean. */
    readonly variation: number;
    /** Number of organisations, each of which sends the same share of the requests. */
    readonly organisations: number;
    /** Operations per second in the phase before and after the measurement. */
    readonly baseRate: number;
    /** Operations per second during the measurement. */
    readonly measuredRate: number;
}
