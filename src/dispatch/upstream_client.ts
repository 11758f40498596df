import type { OwnerRequest } from "../queue/owner_request.ts";
import type { UpstreamResult } from "./upstream_result.ts";

/** Sends a request to an upstream exactly once. Never rejects. */
export interface UpstreamClient {
    /** `timeoutMs` limits the whole exchange and is sent to the upstream; aborting `signal` cancels it. */
    send(request: OwnerRequest, timeoutMs: number, signal: AbortSignal): Promise<UpstreamResult>;
    close(): Promise<void>;
}
