import type { ServiceConfig } from "./service_config.ts";
import { healthType } from "./table/health_type.ts";
import { limitsType } from "./table/limits_type.ts";

/** A service without routes and with default limits, for configuration formats that define neither. */
export function createDefaultService(name: string): ServiceConfig {
    return {
        name,
        description: "",
        dependsOn: [],
        members: 1,
        floor: 0,
        // All routes have the same work class, so no slot is reserved for short work.
        limits: { ...limitsType.buildDefault(), reserveShort: 0 },
        health: healthType.buildDefault(),
        routes: [],
    };
}
