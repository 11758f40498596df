import type { Answer } from "../core/answer.ts";
import type { MessageHeader } from "../core/message_header.ts";
import type { OwnerRequest } from "../queue/owner_request.ts";
import type { UpstreamResult } from "./upstream_result.ts";

/** Encodes and decodes the HTTP headers of an exchange with an upstream. Makes no decisions. */
export interface UpstreamCodec {
    /** Headers of the request to the upstream; `timeoutMs` is the remaining time budget. */
    encode(request: OwnerRequest, timeoutMs: number): readonly MessageHeader[];
    /** Decodes what a complete answer declares about its execution. */
    decode(request: OwnerRequest, answer: Answer): UpstreamResult;
}
