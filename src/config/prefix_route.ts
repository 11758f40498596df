import type { RouteConfig } from "./route_config.ts";

/** A route that is found by the host of a request and the beginning of its path. */
export interface PrefixRoute {
    /** Host in lower case without a port. */
    readonly host: string;
    /** Begins and ends with a slash; the longest one that begins the path decides. */
    readonly prefix: string;
    readonly route: RouteConfig;
}
