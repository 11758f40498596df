import type { RevokeState } from "../forward/revoke_state.ts";
import type { RevokeTarget } from "./revoke_target.ts";

/** Revokes attempts at the owner. */
export interface Revoker {
    revoke(target: RevokeTarget): RevokeState;
}
