import type { Answer } from "../core/answer.ts";
import { findHeader } from "../core/find_header.ts";
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

    /** An upstream may echo the identifier of the request, so that a late copy of another answer is recognised. */
    decode({ requestId }: OwnerRequest, answer: Answer): UpstreamResult {
        const answerRequestId = findHeader(answer.headers, RequestHeader.RequestId);
        if (answerRequestId !== undefined && answerRequestId !== requestId) {
            return {
                kind: UpstreamResultKind.Garbled,
                answer: undefined,
                detail: "an answer to another request",
            };
        }
        return { kind: UpstreamResultKind.Answered, answer, detail: "" };
    }
}
