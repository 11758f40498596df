import type { HealthConfig } from "./health_config.ts";
import type { LimitsConfig } from "./limits_config.ts";
import type { RouteConfig } from "./route_config.ts";

export interface ServiceConfig {
    readonly name: string;
    readonly description: string;
    readonly dependsOn: readonly string[];
    /** Number of upstreams that the operators intend to run. */
    readonly members: number;
    /** Number of upstreams that ejection always leaves in rotation. */
    readonly floor: number;
    readonly limits: LimitsConfig;
    readonly health: HealthConfig;
    readonly routes: readonly RouteConfig[];
}
