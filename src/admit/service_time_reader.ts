import type { RouteConfig } from "../config/route_config.ts";

/** Gives the service time of routes. */
export interface ServiceTimeReader {
    /** Time in milliseconds that work must have left, after a wait, to be worth a slot. */
    computeNeededMs(route: RouteConfig, waitMs: number, nowMs: number): number;
}
