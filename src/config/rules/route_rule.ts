import { Code } from "../../core/code.ts";
import type { Configuration } from "../configuration.ts";
import type { RouteConfig } from "../route_config.ts";
import type { ServiceConfig } from "../service_config.ts";
import type { ConfigRule } from "./config_rule.ts";
import type { Finding } from "./finding.ts";

/** Requires that names of routes are unique, and that no two routes match the same requests. */
export class RouteRule implements ConfigRule {
    /** Method and normalised path of each route of a service; successive configurations share services. */
    private readonly patterns = new WeakMap<ServiceConfig, readonly string[]>();

    check(configuration: Configuration): readonly Finding[] {
        const findings: Finding[] = [];
        const byName = new Map<string, RouteConfig>();
        const byPattern = new Map<string, RouteConfig>();
        for (const service of configuration.services.values()) {
            const patterns = this.listRequestPatterns(service);
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
                const samePattern = addIfAbsent(byPattern, patterns[index]!, route);
                if (samePattern !== undefined) {
                    findings.push({
                        code: Code.ConfigRouteConflict,
                        path: [...getPath(route), "path"],
                        message: `matches the same requests as route ${samePattern.name} `
                            + `of service ${samePattern.service}`,
                    });
                }
            }
        }
        return findings;
    }

    private listRequestPatterns(service: ServiceConfig): readonly string[] {
        const known = this.patterns.get(service);
        // Names of parameters do not affect which requests a pattern matches.
        const patterns = known
            ?? service.routes.map(({ method, path }) => `${method} ${path.replaceAll(/\{[^}]*\}/g, "{}")}`);
        this.patterns.set(service, patterns);
        return patterns;
    }
}

function getPath(route: RouteConfig): readonly string[] {
    return ["services", route.service, "routes", route.name];
}

/** Adds the route under `key` and returns undefined, or returns the route that already has the key. */
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
