import type { RouteConfig } from "../config/route_config.ts";

/** Properties of a route that the entry daemon sends when the owner does not look the route up itself. */
export type RouteTerms = Pick<RouteConfig, "idempotent" | "priority" | "targetMs">;
