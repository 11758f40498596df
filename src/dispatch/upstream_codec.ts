import type { Answer } from "../core/answer.ts";
import type { MessageHeader } from "../core/message_header.ts";
import type { OwnerRequest } from "../queue/owner_request.ts";
import type { UpstreamResult } from "./upstream_result.ts";

/** How the fleet and its upstreams write identifiers, budgets and declarations in HTTP. Decides nothing. */
export interface UpstreamCodec {
    /** Headers of the request to the upstream; `timeoutMs` is what is left of its time budget. */
    encode(request: OwnerRequest, timeoutMs: number): readonly MessageHeader[];
    /** Reads what a complete answer declares about itself. */
    decode(request: OwnerRequest, answer: Answer): UpstreamResult;
}
