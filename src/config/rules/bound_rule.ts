import { Code } from "../../core/code.ts";
import type { ServiceConfig } from "../service_config.ts";
import type { Finding } from "./finding.ts";
import type { ServiceRule } from "./service_rule.ts";

/** Checks values that another value of the same service or route limits. */
export class BoundRule implements ServiceRule {
    check(service: ServiceConfig): readonly Finding[] {
        const { name, floor, members, health, routes } = service;
        const findings: Finding[] = [];
        if (floor > members) {
            findings.push({
                code: Code.ConfigFloorAboveMembers,
                path: ["services", name, "floor"],
                message: `the floor ${floor} is above the ${members} members of the service`,
            });
        }
        if (health.holdMinMs > health.holdMaxMs) {
            findings.push({
                code: Code.ConfigBadValue,
                path: ["services", name, "health", "holdMaxMs"],
                message: `holdMaxMs ${health.holdMaxMs} is below holdMinMs ${health.holdMinMs}`,
            });
        }
        for (const route of routes) {
            if (route.serviceMs > route.deadlineMs) {
                findings.push({
                    code: Code.ConfigBadValue,
                    path: ["services", name, "routes", route.name, "serviceMs"],
                    message: `serviceMs ${route.serviceMs} is above deadlineMs ${route.deadlineMs}`,
                });
            }
        }
        return findings;
    }
}
