import type { DispatchHead } from "../../gen/zinniaglade/v1/control_pb.ts";
import type { IncomingDispatch } from "../../queue/incoming_dispatch.ts";

/** Decodes an attempt that an entry daemon sent. */
export function decodeDispatch(head: DispatchHead, body: Uint8Array, signal: AbortSignal): IncomingDispatch {
    return {
        requestId: head.requestId,
        attempt: head.attempt,
        upstreamId: head.upstreamId,
        service: head.service,
        route: head.route,
        organisation: head.organisation,
        idempotencyKey: head.idempotencyKey === "" ? undefined : head.idempotencyKey,
        ownerIncarnation: head.incarnation === "" ? undefined : head.incarnation,
        remainingMs: head.remainingMs,
        baselineMs: head.baselineMs,
        trial: head.trial,
        redirectable: head.redirectable,
        remote: head.remote,
        repeat: head.repeat,
        faultLimit: head.faultLimit === 0 ? undefined : head.faultLimit,
        elapsedMs: head.elapsedMs,
        terms: head.terms === undefined ? undefined : {
            idempotent: head.terms.idempotent,
            priority: head.terms.priority,
            targetMs: head.terms.targetMs,
        },
        method: head.method,
        target: head.target,
        headers: head.headers,
        body,
        signal,
    };
}
