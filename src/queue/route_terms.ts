import type { RouteConfig } from "../config/route_config.ts";

/** What an owner needs to know of a route that it does not look up in its own configuration. */
export type RouteTerms = Pick<RouteConfig, "idempotent" | "priority" | "targetMs">;
