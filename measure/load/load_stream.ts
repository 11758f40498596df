import type { RouteConfig } from "../../src/config/route_config.ts";

/** Requests of one kind. */
export interface LoadStream {
    readonly name: string;
    readonly route: RouteConfig;
    /** Mean service time in milliseconds at full speed; the distribution is lognormal. */
    readonly serviceMs: number;
    /** Standard deviation of the service time divided by its mean. */
    readonly variation: number;
    /** Number of organisations that send in equal parts. */
    readonly organisations: number;
    /** Operations per second in the phase before and after the measurement. */
    readonly baseRate: number;
    /** Operations per second during the measurement. */
    readonly measuredRate: number;
}
