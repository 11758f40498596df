import { buildService } from "../../proof/fakes/build_service.ts";
import type { ServiceConfig } from "../../src/config/service_config.ts";
import type { RoutedRequest } from "../../src/route/routed_request.ts";

const signal = new AbortController().signal;

/** Creates a request for the first route of a service, as the route filter returns it. */
export function createRoutedRequest(
    index: number,
    service: ServiceConfig = buildService(),
    headers: RoutedRequest["headers"] = [],
): RoutedRequest {
    const route = service.routes[0]!;
    return {
        requestId: `0123456789abcdef-${index}`,
        method: route.method,
        host: "",
        path: route.path,
        target: `${route.path}?page=1`,
        headers,
        body: new Uint8Array(),
        organisation: `organisation-${index}`,
        idempotencyKey: undefined,
        budgetMs: undefined,
        receivedAtMs: 0,
        signal,
        service,
        route,
        deadlineMs: route.deadlineMs,
        configVersion: 1,
    };
}
