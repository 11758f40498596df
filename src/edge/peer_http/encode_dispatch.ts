import { create, toBinary } from "@bufbuild/protobuf";
import type { RouteConfig } from "../../config/route_config.ts";
import { DispatchHeadSchema } from "../../gen/zinniaglade/v1/control_pb.ts";
import type { SelectedRequest } from "../../select/selected_request.ts";

/** Value of the dispatch header: a DispatchHead in base64. */
export function encodeDispatch(request: SelectedRequest, remainingMs: number): string {
    const head = create(DispatchHeadSchema, {
        requestId: request.requestId,
        attempt: request.attempt,
        upstreamId: request.upstream.id,
        service: request.service.name,
        route: request.route.name,
        organisation: request.organisation,
        idempotencyKey: request.idempotencyKey ?? "",
        remainingMs: Math.max(0, Math.floor(remainingMs)),
        baselineMs: request.baselineMs,
        method: request.method,
        target: request.target,
        headers: request.headers.map(header => ({ name: header.name, value: header.value })),
        configVersion: BigInt(request.configVersion),
        trial: request.trial,
        redirectable: request.redirectable ?? false,
        incarnation: request.ownerIncarnation ?? "",
        // Routes without a service of their own in the configuration are found by host and prefix at the entry only.
        ...(request.service.routes.includes(request.route) ? {} : { terms: createTerms(request.route) }),
    });
    return Buffer.from(toBinary(DispatchHeadSchema, head)).toString("base64");
}

function createTerms({ idempotent, priority, targetMs }: RouteConfig) {
    return { idempotent, priority, targetMs };
}
