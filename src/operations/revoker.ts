import type { RevokeState } from "../forward/revoke_state.ts";
import type { RevokeTarget } from "./revoke_target.ts";

/** The owner's side of a revocation. */
export interface Revoker {
    revoke(target: RevokeTarget): RevokeState;
}
