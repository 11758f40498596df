import type { OwnerRequest } from "../queue/owner_request.ts";
import type { DispatchedRequest } from "./dispatched_request.ts";

/** Observes the start and the end of each exchange with an upstream. */
export interface ExchangeObserver {
    /** Called immediately before the request is sent. */
    start(request: OwnerRequest): void;
    /** Called for every attempt that held a slot, even if it was refused before it was sent. */
    record(request: DispatchedRequest): void;
}
