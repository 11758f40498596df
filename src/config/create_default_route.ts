import { WorkClass } from "../core/work_class.ts";
import type { RouteConfig } from "./route_config.ts";

type RequiredFields = Pick<RouteConfig, "name" | "service" | "idempotent">;

/** Any answer below 400 is one that a route without expectations of its own expects. */
const expectedStatuses = Array.from({ length: 200 }, (_, index) => 200 + index);
/** Milliseconds to assume for a request until some are measured, and the usual share of the target of a route. */
const defaultServiceMs = 10;
const serviceShare = 0.25;
const maxDeadlineMs = 600_000;
const maxBodyBytes = 67_108_864;

/** A route of any method; all fields that are not given allow as much as possible. */
export function createDefaultRoute(fields: RequiredFields & Partial<RouteConfig>): RouteConfig {
    return {
        method: "",
        path: "",
        workClass: WorkClass.Short,
        deadlineMs: maxDeadlineMs,
        serviceMs: Math.max(defaultServiceMs, serviceShare * (fields.targetMs ?? 0)),
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
