import type { Configuration } from "../configuration.ts";
import type { ServiceConfig } from "../service_config.ts";
import type { ConfigRule } from "./config_rule.ts";
import type { Finding } from "./finding.ts";
import type { ServiceRule } from "./service_rule.ts";

/** Applies a rule to each service. Valid services that successive configurations share are checked once. */
export class EachServiceRule implements ConfigRule {
    private readonly valid = new WeakSet<ServiceConfig>();

    constructor(private readonly rule: ServiceRule) {}

    check(configuration: Configuration): readonly Finding[] {
        const findings: Finding[] = [];
        for (const service of configuration.services.values()) {
            if (this.valid.has(service)) {
                continue;
            }
            const found = this.rule.check(service);
            findings.push(...found);
            if (found.length === 0) {
                this.valid.add(service);
            }
        }
        return findings;
    }
}
