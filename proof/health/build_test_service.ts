import type { RouteConfig } from "../../src/config/route_config.ts";
import type { ServiceConfig } from "../../src/config/service_config.ts";
import { WorkClass } from "../../src/core/work_class.ts";

/** Builds a service with a read and a write route, for tests of health and selection. */
export function buildTestService(changes: Partial<ServiceConfig> = {}): ServiceConfig {
    return {
        name: "payments",
        description: "",
        dependsOn: [],
        members: 6,
        floor: 4,
        limits: {
            queueLength: 10,
            reserveShort: 1,
            targetWaitMs: 50,
            organisationPercent: 50,
            retryPercent: 10,
            entryConcurrency: 100,
        },
        health: { falseAlarm: 1e-6, slowFactor: 3, holdMinMs: 2_000, holdMaxMs: 60_000, rampMs: 10_000 },
        routes: [buildRoute("read", true), buildRoute("write", false)],
        ...changes,
    };
}

function buildRoute(name: string, idempotent: boolean): RouteConfig {
    return {
        name,
        service: "payments",
        method: idempotent ? "GET" : "POST",
        path: `/${name}`,
        workClass: WorkClass.Short,
        idempotent,
        deadlineMs: 1_000,
        serviceMs: 20,
        maxRequestBytes: 1_000,
        maxAnswerBytes: 1_000,
        expect: { statuses: [200], contentType: "application/json" },
        shedStatuses: [503],
        priority: 0,
        maxAttempts: 3,
        targetMs: 0,
        split: new Map(),
    };
}
