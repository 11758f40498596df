import type { RouteConfig } from "../config/route_config.ts";

/** Provides service times of routes. */
export interface ServiceTimeReader {
    /** Time in milliseconds that a request must have left after a wait to be admitted. */
    computeNeededMs(route: RouteConfig, waitMs: number, nowMs: number): number;
}
