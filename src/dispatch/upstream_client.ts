import type { OwnerRequest } from "../queue/owner_request.ts";
import type { UpstreamResult } from "./upstream_result.ts";

/** Sends a request to an upstream exactly once. Never rejects. */
export interface UpstreamClient {
    /** `timeoutMs` bounds the whole exchange and is sent along; aborting `signal` cancels it. */
    send(request: OwnerRequest, timeoutMs: number, signal: AbortSignal): Promise<UpstreamResult>;
    close(): Promise<void>;
}
