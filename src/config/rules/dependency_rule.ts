import { Code } from "../../core/code.ts";
import type { Configuration } from "../configuration.ts";
import type { ConfigRule } from "./config_rule.ts";
import type { Finding } from "./finding.ts";

/** Requires that each dependency is a service of the configuration. */
export class DependencyRule implements ConfigRule {
    check(configuration: Configuration): readonly Finding[] {
        const findings: Finding[] = [];
        for (const { name, dependsOn } of configuration.services.values()) {
            for (const [index, dependency] of dependsOn.entries()) {
                if (!configuration.services.has(dependency)) {
                    const path = ["services", name, "dependsOn", index];
                    findings.push({
                        code: Code.ConfigUnknownService,
                        path,
                        message: `no service is named "${dependency}"`,
                    });
                }
            }
        }
        return findings;
    }
}
