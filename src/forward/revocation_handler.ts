import type { RevokeState } from "./revoke_state.ts";

/** The owner's side of a revocation. */
export interface RevocationHandler {
    /** Refuses the attempt from now on unless it was dispatched. */
    revoke(requestId: string, attempt: number): RevokeState;
}
