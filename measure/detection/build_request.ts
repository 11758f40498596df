import type { RouteConfig } from "../../src/config/route_config.ts";
import type { ServiceConfig } from "../../src/config/service_config.ts";
import type { RoutedRequest } from "../../src/route/routed_request.ts";

/** Builds a request for the route, received at `nowMs`. */
export function buildRequest(
    service: ServiceConfig,
    route: RouteConfig,
    { requestId, nowMs }: { readonly requestId: string; readonly nowMs: number; },
): RoutedRequest {
    return {
        requestId,
        method: route.method,
        host: "",
        path: route.path,
        target: route.path,
        headers: [],
        body: new Uint8Array(),
        organisation: "organisation",
        idempotencyKey: undefined,
        budgetMs: undefined,
        receivedAtMs: nowMs,
        signal: new AbortController().signal,
        service,
        route,
        deadlineMs: nowMs + route.deadlineMs,
        configVersion: 1,
    };
}
