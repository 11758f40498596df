import type { RouteConfig } from "./route_config.ts";

/** The fields of a route as the configuration lists them below its name. */
export type RouteFields = Omit<RouteConfig, "name" | "public" | "service">;
