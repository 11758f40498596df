/**
 * Finds the route of a request by its host and the longest prefix of its path.
 *
 * @example
 * ```ts
 * const table = new PrefixRouteTable(configuration);
 * const match = table.find({ method: "GET", host: "bills.example", path: "/open/42" });
 * ```
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import type { Configuration } from "../config/configuration.ts";
import { Code } from "../core/code.ts";
import type { RouteFinder } from "./route_finder.ts";
import type { RouteMatch } from "./route_match.ts";
import type { RouteQuery } from "./route_query.ts";

/** The prefix routes of one configuration. They match every method, and compare the path as received. */
export class PrefixRouteTable implements RouteFinder {
    private readonly hosts = new Map<string, Map<string, RouteMatch>>();

    constructor(configuration: Configuration) {
        for (const { host, prefix, route } of configuration.prefixRoutes ?? []) {
            const service = configuration.services.get(route.service);
            if (service !== undefined) {
                const prefixes = this.hosts.get(host) ?? new Map<string, RouteMatch>();
                this.hosts.set(host, prefixes);
                prefixes.set(prefix, { service, route });
            }
        }
    }

    find({ host, path }: RouteQuery): Result<RouteMatch, Code> {
        const prefixes = this.hosts.get(host);
        if (prefixes === undefined) {
            return err(Code.NoRoute);
        }
        // Prefixes end with a slash, so only parts of the path that end with one are looked up.
        for (
            let end = path.lastIndexOf("/");
            end >= 0;
            end = end === 0 ? -1 : path.lastIndexOf("/", end - 1)
        ) {
            const match = prefixes.get(path.slice(0, end + 1));
            if (match !== undefined) {
                return ok(match);
            }
        }
        return err(Code.NoRoute);
    }
}
