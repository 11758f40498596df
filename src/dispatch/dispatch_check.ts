import type { Failure } from "../core/failure.ts";
import type { OwnerRequest } from "../queue/owner_request.ts";

/** Check of a request that holds a slot, before its first byte is sent. */
export interface DispatchCheck {
    /** A failure refuses the attempt as not executed. */
    check(request: OwnerRequest, waitMs: number): Failure | undefined;
}
