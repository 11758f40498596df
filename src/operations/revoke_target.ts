import type { AttemptId } from "./attempt_id.ts";

/** Attempt that an entry daemon asks an owner to revoke. */
export interface RevokeTarget extends AttemptId {
    /** Key of the request when its route is not idempotent. */
    readonly idempotencyKey: string | undefined;
    /** Incarnation of the owner that the entry daemon knew when it sent the attempt. */
    readonly incarnation: string | undefined;
}
