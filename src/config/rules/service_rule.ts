import type { ServiceConfig } from "../service_config.ts";
import type { Finding } from "./finding.ts";

/** A rule over the fields of one service. */
export interface ServiceRule {
    check(service: ServiceConfig): readonly Finding[];
}
