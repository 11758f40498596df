import type { Result } from "neverthrow";
import type { Failure } from "../core/failure.ts";
import type { OwnerRequest } from "../queue/owner_request.ts";

/** Final check of an attempt before its first byte is sent to the upstream. */
export interface DispatchGate {
    /**
     * Records the attempt as dispatched, or fails when it was revoked. A later revocation is answered with
     * `dispatched`, so the calling code must send the request without an `await` in between.
     */
    recordDispatch(request: OwnerRequest): Result<void, Failure>;
}
