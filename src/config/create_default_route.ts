import { WorkClass } from "../core/work_class.ts";
import type { RouteConfig } from "./route_config.ts";

type RequiredFields = Pick<RouteConfig, "name" | "service" | "idempotent">;

/** Any answer below 400 is one that a route without expectations of its own expects. */
const expectedStatuses = Array.from({ length: 200 }, (_, index) => 200 + index);
const maxDeadlineMs = 600_000;
const maxBodyBytes = 67_108_864;

/** A route of any method; all fields that are not given allow as much as possible. */
export function createDefaultRoute(fields: RequiredFields & Partial<RouteConfig>): RouteConfig {
    return {
        method: "",
        path: "",
        workClass: WorkClass.Short,
        deadlineMs: maxDeadlineMs,
        serviceMs: 10,
        maxRequestBytes: maxBodyBytes,
        maxAnswerBytes: maxBodyBytes,
        expect: { statuses: expectedStatuses, contentType: "" },
        shedStatuses: [],
        priority: 0,
        maxAttempts: 1,
        targetMs: 0,
        split: new Map(),
        ...fields,
    };
}
