import type { ServiceConfig } from "./service_config.ts";
import { healthType } from "./table/health_type.ts";
import { limitsType } from "./table/limits_type.ts";

/** A service without routes of its own, with the default limits, for configurations that state none. */
export function createDefaultService(name: string): ServiceConfig {
    return {
        name,
        description: "",
        dependsOn: [],
        members: 1,
        floor: 0,
        limits: limitsType.buildDefault(),
        health: healthType.buildDefault(),
        routes: [],
    };
}
