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
        // All routes have one class, so no slot is reserved for another.
        limits: { ...limitsType.buildDefault(), reserveShort: 0 },
        health: healthType.buildDefault(),
        routes: [],
    };
}
