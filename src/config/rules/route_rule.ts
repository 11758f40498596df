import { Code } from "../../core/code.ts";
import type { Configuration } from "../configuration.ts";
import type { RouteConfig } from "../route_config.ts";
import type { ServiceConfig } from "../service_config.ts";
import type { ConfigRule } from "./config_rule.ts";
import type { Finding } from "./finding.ts";

/** Names of routes are unique in the configuration, and no two routes match the same requests. */
export class RouteRule implements ConfigRule {
    /** Requests that the routes of a service match; successive configurations share services. */
    private readonly requests = new WeakMap<ServiceConfig, readonly string[]>();

    check(configuration: Configuration): readonly Finding[] {
        const findings: Finding[] = [];
        const byName = new Map<string, RouteConfig>();
        const byRequests = new Map<string, RouteConfig>();
        for (const service of configuration.services.values()) {
            const requests = this.listRequests(service);
            for (const [index, route] of service.routes.entries()) {
                const sameName = addIfAbsent(byName, route.name, route);
                if (sameName !== undefined) {
                    findings.push({
                        code: Code.ConfigDuplicateName,
                        path: getPath(route),
                        atKey: true,
                        message: `service ${sameName.service} has a route of the same name`,
                    });
                }
                const sameRequests = addIfAbsent(byRequests, requests[index]!, route);
                if (sameRequests !== undefined) {
                    findings.push({
                        code: Code.ConfigRouteConflict,
                        path: [...getPath(route), "path"],
                        message:
                            `matches the same requests as route ${sameRequests.name} of service ${sameRequests.service}`,
                    });
                }
            }
        }
        return findings;
    }

    private listRequests(service: ServiceConfig): readonly string[] {
        const known = this.requests.get(service);
        // Names of parameters do not affect which requests a pattern matches.
        const requests = known
            ?? service.routes.map(({ method, path }) => `${method} ${path.replaceAll(/\{[^}]*\}/g, "{}")}`);
        this.requests.set(service, requests);
        return requests;
    }
}

function getPath(route: RouteConfig): readonly string[] {
    return ["services", route.service, "routes", route.name];
}

/** Adds the route under `key` and returns undefined, or returns the route that the key has already. */
function addIfAbsent(
    routes: Map<string, RouteConfig>,
    key: string,
    route: RouteConfig,
): RouteConfig | undefined {
    const earlier = routes.get(key);
    if (earlier === undefined) {
        routes.set(key, route);
    }
    return earlier;
}
