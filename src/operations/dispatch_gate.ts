import type { Result } from "neverthrow";
import type { Failure } from "../core/failure.ts";
import type { OwnerRequest } from "../queue/owner_request.ts";

/** Last decision on an attempt before its first byte is sent to the upstream. */
export interface DispatchGate {
    /**
     * Records the attempt as dispatched, or fails when it was revoked. A revocation that comes later is
     * answered with `dispatched`; the caller sends the request without an `await` in between.
     */
    recordDispatch(request: OwnerRequest): Result<void, Failure>;
}
