import { create } from "@bufbuild/protobuf";
import type { RouteConfig } from "../../config/route_config.ts";
import { type DispatchHead, DispatchHeadSchema } from "../../gen/zinniaglade/v1/control_pb.ts";
import type { SelectedRequest } from "../../select/selected_request.ts";
import { encodeUint32 } from "../encode_uint32.ts";

/** Encodes the metadata of an attempt for its owner; `nowMs` is monotonic. */
export function encodeDispatch(request: SelectedRequest, nowMs: number): DispatchHead {
    return create(DispatchHeadSchema, {
        requestId: request.requestId,
        attempt: request.attempt,
        upstreamId: request.upstream.id,
        service: request.service.name,
        route: request.route.name,
        organisation: request.organisation,
        idempotencyKey: request.idempotencyKey ?? "",
        remainingMs: encodeUint32(Math.floor(request.deadlineMs - nowMs)),
        elapsedMs: encodeUint32(Math.floor(nowMs - request.receivedAtMs)),
        baselineMs: request.baselineMs,
        method: request.method,
        target: request.target,
        headers: request.headers.map(header => ({ name: header.name, value: header.value })),
        configVersion: BigInt(request.configVersion),
        trial: request.trial,
        redirectable: request.redirectable ?? false,
        remote: request.remote ?? false,
        repeat: request.repeat ?? false,
        faultLimit: request.faultLimit ?? 0,
        incarnation: request.ownerIncarnation ?? "",
        // Only the entry daemon matches routes by host and prefix; their terms are sent because the owner
        // cannot look them up.
        ...(request.service.routes.includes(request.route) ? {} : { terms: createTerms(request.route) }),
    });
}

function createTerms({ idempotent, priority, targetMs }: RouteConfig) {
    return { idempotent, priority: encodeUint32(priority), targetMs: encodeUint32(targetMs) };
}
