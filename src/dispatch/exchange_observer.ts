import type { OwnerRequest } from "../queue/owner_request.ts";
import type { DispatchedRequest } from "./dispatched_request.ts";

/** Sees the start and the end of each exchange with an upstream. */
export interface ExchangeObserver {
    /** Immediately before the request is sent. */
    start(request: OwnerRequest): void;
    /** For every attempt that held a slot, also when it was refused before it was sent. */
    record(request: DispatchedRequest): void;
}
