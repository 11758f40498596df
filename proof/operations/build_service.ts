import type { ServiceConfig } from "../../src/config/service_config.ts";
import { WorkClass } from "../../src/core/work_class.ts";

/** Builds a service with one route. */
export function buildService(idempotent: boolean): ServiceConfig {
    return {
        name: "payments",
        description: "",
        dependsOn: [],
        members: 6,
        floor: 3,
        limits: {
            queueLength: 4,
            reserveShort: 0,
            targetWaitMs: 50,
            organisationPercent: 100,
            retryPercent: 100,
            entryConcurrency: 100,
        },
        health: { falseAlarm: 0.001, slowFactor: 3, holdMinMs: 2_000, holdMaxMs: 60_000, rampMs: 1_000 },
        routes: [{
            name: "pay",
            service: "payments",
            method: "POST",
            path: "/payments",
            workClass: WorkClass.Short,
            idempotent,
            deadlineMs: 400,
            serviceMs: 20,
            maxRequestBytes: 1_000,
            maxAnswerBytes: 1_000,
            expect: { statuses: [200], contentType: "" },
            shedStatuses: [503],
            priority: 0,
            maxAttempts: 3,
            targetMs: 0,
            split: new Map(),
        }],
    };
}
