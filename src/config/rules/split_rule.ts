import { Code } from "../../core/code.ts";
import type { Configuration } from "../configuration.ts";
import type { ConfigRule } from "./config_rule.ts";
import type { Finding } from "./finding.ts";

/** Requires that the services of a traffic split exist, and that one of them has a weight above 0. */
export class SplitRule implements ConfigRule {
    check(configuration: Configuration): readonly Finding[] {
        const findings: Finding[] = [];
        for (const { name, routes } of configuration.services.values()) {
            for (const route of routes) {
                const path = ["services", name, "routes", route.name, "split"];
                const weights = [...route.split.values()];
                if (weights.length > 0 && weights.every(weight => weight === 0)) {
                    findings.push({ code: Code.ConfigBadValue, path, message: "all weights are 0" });
                }
                for (const part of route.split.keys()) {
                    if (!configuration.services.has(part)) {
                        const message = `no service is named "${part}"`;
                        findings.push({ code: Code.ConfigUnknownService, path: [...path, part], message });
                    }
                }
            }
        }
        return findings;
    }
}
