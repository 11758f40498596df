import { Code } from "../../core/code.ts";
import type { Configuration } from "../configuration.ts";
import type { RouteConfig } from "../route_config.ts";
import type { ConfigRule } from "./config_rule.ts";
import type { Finding } from "./finding.ts";

/** Names of routes are unique in the configuration, and no two routes match the same requests. */
export class RouteRule implements ConfigRule {
    check(configuration: Configuration): readonly Finding[] {
        const findings: Finding[] = [];
        const byName = new Map<string, RouteConfig>();
        const byRequests = new Map<string, RouteConfig>();
        for (const service of configuration.services.values()) {
            for (const route of service.routes) {
                const path = ["services", service.name, "routes", route.name];
                const namesake = addOnce(byName, route.name, route);
                if (namesake !== undefined) {
                    findings.push({
                        code: Code.ConfigDuplicateName,
                        path,
                        atKey: true,
                        message: `service ${namesake.service} has a route of the same name`,
                    });
                }
                // Names of parameters do not affect which requests a pattern matches.
                const requests = `${route.method} ${route.path.replaceAll(/\{[^}]*\}/g, "{}")}`;
                const rival = addOnce(byRequests, requests, route);
                if (rival !== undefined) {
                    findings.push({
                        code: Code.ConfigRouteConflict,
                        path: [...path, "path"],
                        message:
                            `matches the same requests as route ${rival.name} of service ${rival.service}`,
                    });
                }
            }
        }
        return findings;
    }
}

/** Adds the route under `key` and returns undefined, or returns the route that the key has already. */
function addOnce(routes: Map<string, RouteConfig>, key: string, route: RouteConfig): RouteConfig | undefined {
    const earlier = routes.get(key);
    if (earlier === undefined) {
        routes.set(key, route);
    }
    return earlier;
}
