import type { Configuration } from "../config/configuration.ts";
import { PatternRouteTable } from "./pattern_route_table.ts";
import { PrefixRouteTable } from "./prefix_route_table.ts";
import type { RouteFinder } from "./route_finder.ts";

/** Builds the route table for the kind of routes in the configuration. */
export function buildRouteFinder(configuration: Configuration): RouteFinder {
    return configuration.prefixRoutes === undefined
        ? new PatternRouteTable(configuration)
        : new PrefixRouteTable(configuration);
}
