import type { Answer } from "../core/answer.ts";
import type { MessageHeader } from "../core/message_header.ts";
import { RequestHeader } from "../core/request_header.ts";
import type { OwnerRequest } from "../queue/owner_request.ts";
import type { UpstreamCodec } from "./upstream_codec.ts";
import type { UpstreamResult } from "./upstream_result.ts";
import { UpstreamResultKind } from "./upstream_result_kind.ts";

/** Codec of zinniaglade's own HTTP interface for upstreams. */
export class HeaderUpstreamCodec implements UpstreamCodec {
    encode(request: OwnerRequest, timeoutMs: number): readonly MessageHeader[] {
        const headers = [
            ...request.headers,
            { name: RequestHeader.Timeout, value: `${Math.max(1, Math.floor(timeoutMs))}` },
            { name: RequestHeader.RequestId, value: request.requestId },
        ];
        return request.idempotencyKey === undefined
            ? headers
            : [...headers, { name: RequestHeader.IdempotencyKey, value: request.idempotencyKey }];
    }

    decode(_request: OwnerRequest, answer: Answer): UpstreamResult {
        return { kind: UpstreamResultKind.Answered, answer, detail: "" };
    }
}
