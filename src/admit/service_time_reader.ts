import type { RouteConfig } from "../config/route_config.ts";

/** Gives the service time of routes. */
export interface ServiceTimeReader {
    /** Mean service time in milliseconds as measured recently, or else as configured. */
    getMeanMs(route: RouteConfig, nowMs: number): number;
}
