import type { RouteConfig } from "../../src/config/route_config.ts";
import type { ServiceConfig } from "../../src/config/service_config.ts";
import { WorkClass } from "../../src/core/work_class.ts";
import type { Deployment } from "./deployment.ts";

/** Configuration of the measured service: reads, writes that are not idempotent, and long reads. */
export function buildService(deployment: Deployment): ServiceConfig {
    return {
        name: deployment.service,
        description: "measured service",
        dependsOn: [],
        members: deployment.upstreams,
        floor: deployment.floor,
        limits: {
            queueLength: 30,
            reserveShort: 1,
            targetWaitMs: 50,
            organisationPercent: 50,
            retryPercent: 10,
            entryConcurrency: 1_000,
        },
        health: { falseAlarm: 1e-6, slowFactor: 3, holdMinMs: 2_000, holdMaxMs: 60_000, rampMs: 10_000 },
        routes: [
            buildRoute(deployment.service, { name: "read", workClass: WorkClass.Short, serviceMs: 20 }),
            buildRoute(deployment.service, { name: "write", workClass: WorkClass.Short, serviceMs: 50 }),
            buildRoute(deployment.service, { name: "history", workClass: WorkClass.Long, serviceMs: 300 }),
        ],
    };
}

function buildRoute(
    service: string,
    { name, workClass, serviceMs }: Pick<RouteConfig, "name" | "workClass" | "serviceMs">,
): RouteConfig {
    const isLong = workClass === WorkClass.Long;
    return {
        name,
        service,
        method: name === "write" ? "POST" : "GET",
        path: `/${name}`,
        workClass,
        idempotent: name !== "write",
        deadlineMs: isLong ? 5_000 : 1_000,
        serviceMs,
        maxRequestBytes: 65_536,
        maxAnswerBytes: 65_536,
        expect: { statuses: [200], contentType: "application/json" },
        shedStatuses: [503],
        priority: 0,
        maxAttempts: 3,
        targetMs: 0,
        split: new Map(),
    };
}
