import { fromBinary } from "@bufbuild/protobuf";
import { fromThrowable, type Result } from "neverthrow";
import { Code } from "../../core/code.ts";
import { createFailure } from "../../core/create_failure.ts";
import type { Failure } from "../../core/failure.ts";
import { DispatchHeadSchema } from "../../gen/zinniaglade/v1/control_pb.ts";
import type { IncomingDispatch } from "../../queue/incoming_dispatch.ts";

const decodeHead = fromThrowable(
    (encoded: string) => fromBinary(DispatchHeadSchema, Buffer.from(encoded, "base64")),
    error => createFailure(Code.PeerProtocol, { detail: String(error) }),
);

/** Reads the dispatch header. Fails with PeerProtocol. */
export function decodeDispatch(
    encoded: string,
    body: Uint8Array,
    signal: AbortSignal,
): Result<IncomingDispatch, Failure> {
    return decodeHead(encoded).map(head => ({
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
    }));
}
