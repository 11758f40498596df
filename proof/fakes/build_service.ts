import type { RouteConfig } from "../../src/config/route_config.ts";
import type { ServiceConfig } from "../../src/config/service_config.ts";
import { WorkClass } from "../../src/core/work_class.ts";

/** Fields of a service that a test or measurement can set. */
interface ServiceParts {
    readonly name?: string;
    readonly dependsOn?: readonly string[];
    readonly limits?: Partial<ServiceConfig["limits"]>;
    readonly routes?: readonly Partial<RouteConfig>[];
}

/** Builds a service with one short route; fields that are not given get defaults for tests. */
export function buildService(parts: ServiceParts = {}): ServiceConfig {
    const name = parts.name ?? "payments";
    return {
        name,
        description: "",
        dependsOn: parts.dependsOn ?? [],
        members: 1,
        floor: 1,
        limits: {
            queueLength: 60,
            reserveShort: 1,
            targetWaitMs: 100,
            organisationPercent: 50,
            retryPercent: 10,
            entryConcurrency: 1_000,
            ...parts.limits,
        },
        health: { falseAlarm: 1e-9, slowFactor: 3, holdMinMs: 2_000, holdMaxMs: 60_000, rampMs: 10_000 },
        routes: (parts.routes ?? [{}]).map((route, index) => ({
            name: `${name}.${index}`,
            service: name,
            method: "GET",
            path: `/${name}/${index}`,
            workClass: WorkClass.Short,
            idempotent: true,
            deadlineMs: 1_000,
            serviceMs: 50,
            maxRequestBytes: 65_536,
            maxAnswerBytes: 65_536,
            expect: { statuses: [200], contentType: "" },
            shedStatuses: [503],
            priority: 0,
            maxAttempts: 3,
            targetMs: 0,
            split: new Map(),
            ...route,
        })),
    };
}
