import { WorkClass } from "../core/work_class.ts";
import type { RouteConfig } from "./route_config.ts";

type RequiredFields = Pick<RouteConfig, "name" | "service" | "idempotent">;

/** Statuses that are correct for a route without `expect`: all below 400. */
const expectedStatuses = Array.from({ length: 200 }, (_, index) => 200 + index);
/** Service time in milliseconds to assume before any is measured. */
const defaultServiceMs = 10;
/** Typical service time as a share of the route's target. */
const serviceShareOfTarget = 0.25;
const maxDeadlineMs = 600_000;
const maxBodyBytes = 67_108_864;

/** A route for any method; fields that are not given have their most permissive value. */
export function createDefaultRoute(fields: RequiredFields & Partial<RouteConfig>): RouteConfig {
    return {
        method: "",
        path: "",
        workClass: WorkClass.Short,
        deadlineMs: maxDeadlineMs,
        serviceMs: Math.max(defaultServiceMs, serviceShareOfTarget * (fields.targetMs ?? 0)),
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
