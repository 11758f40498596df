import { Code } from "../../core/code.ts";
import type { Configuration } from "../configuration.ts";
import type { ConfigRule } from "./config_rule.ts";
import type { Finding } from "./finding.ts";

/** Requires at least one service, so that a truncated file does not take every service out of use. */
export class ServiceCountRule implements ConfigRule {
    check(configuration: Configuration): readonly Finding[] {
        return configuration.services.size > 0
            ? []
            : [{
                code: Code.ConfigMissingField,
                path: ["services"],
                message: "must name at least one service",
            }];
    }
}
