import type { RouteConfig } from "../config/route_config.ts";
import type { ServiceConfig } from "../config/service_config.ts";

/** A route and its service. */
export interface RouteMatch {
    readonly service: ServiceConfig;
    readonly route: RouteConfig;
}
