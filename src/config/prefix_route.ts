import type { RouteConfig } from "./route_config.ts";

/** A route that is selected by the host of a request and a prefix of its path. */
export interface PrefixRoute {
    /** Host in lower case without a port. */
    readonly host: string;
    /** Begins and ends with a slash; of the prefixes that match, the longest one is used. */
    readonly prefix: string;
    readonly route: RouteConfig;
}
