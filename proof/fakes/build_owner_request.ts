import type { OwnerRequest } from "../../src/queue/owner_request.ts";
import { buildService } from "./build_service.ts";

/** Builds an attempt for upstream `u1`; the route defaults to the first route of the service. */
export function buildOwnerRequest(parts: Partial<OwnerRequest> = {}): OwnerRequest {
    const service = parts.service ?? buildService();
    const route = parts.route ?? service.routes[0]!;
    const receivedAtMs = parts.receivedAtMs ?? 0;
    return {
        requestId: "r1",
        attempt: 1,
        upstreamId: "u1",
        service,
        route,
        organisation: "o1",
        idempotencyKey: undefined,
        receivedAtMs,
        deadlineMs: receivedAtMs + route.deadlineMs,
        baselineMs: 0,
        trial: false,
        method: route.method,
        target: route.path,
        headers: [],
        body: new Uint8Array(),
        signal: new AbortController().signal,
        ...parts,
    };
}
