import type { Result } from "neverthrow";
import type { Code } from "../core/code.ts";
import type { RouteMatch } from "./route_match.ts";
import type { RouteQuery } from "./route_query.ts";

/** Finds the route of a request in one configuration. */
export interface RouteFinder {
    /** The error is `NoRoute`, or `MethodNotAllowed` when only the method differs. */
    find(query: RouteQuery): Result<RouteMatch, Code>;
}
