import { Buffer } from "node:buffer";
import type { OwnerRequest } from "../../src/queue/owner_request.ts";
import { buildService } from "./build_service.ts";

/** Builds a payment request as its owner receives it, with a deadline at 1,000 ms. */
export function buildOwnerRequest(fields: Partial<OwnerRequest> = {}): OwnerRequest {
    const service = buildService(false);
    return {
        requestId: "r1",
        attempt: 1,
        upstreamId: "u1",
        service,
        route: service.routes[0]!,
        organisation: "org",
        idempotencyKey: undefined,
        receivedAtMs: 0,
        deadlineMs: 1_000,
        baselineMs: 0,
        trial: false,
        method: "POST",
        target: "/payments",
        headers: [],
        body: Buffer.from("pay 100"),
        signal: new AbortController().signal,
        ...fields,
    };
}
