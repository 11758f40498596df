import type { Result } from "neverthrow";
import type { Failure } from "../core/failure.ts";
import type { HeadExchange } from "./head_exchange.ts";
import type { SectionRequest } from "./section_request.ts";
import type { SectionResponse } from "./section_response.ts";

/** Sends control messages to other daemons. Each call ends within `timeoutMs` milliseconds. */
export interface PeerControlClient {
    /** Sends this daemon's heads and returns those of the peer. */
    sendHeads(
        address: string,
        message: HeadExchange,
        timeoutMs: number,
    ): Promise<Result<HeadExchange, Failure>>;
    /** Fails when the peer has no such document. */
    fetchSections(
        address: string,
        request: SectionRequest,
        timeoutMs: number,
    ): Promise<Result<SectionResponse, Failure>>;
}
