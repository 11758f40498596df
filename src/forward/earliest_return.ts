import type { OwnerReply } from "./owner_reply.ts";

/** Earliest time at which one of the owners that refused a request expects to have room for it. */
export class EarliestReturn {
    /** Monotonic milliseconds; undefined while no owner has told a time. */
    private freeAtMs: number | undefined;

    record({ retryAfterMs }: OwnerReply, nowMs: number): void {
        if (retryAfterMs !== undefined) {
            this.freeAtMs = Math.min(this.freeAtMs ?? Infinity, nowMs + retryAfterMs);
        }
    }

    /** Adds the time to the final reply. */
    apply(reply: OwnerReply, nowMs: number): OwnerReply {
        return this.freeAtMs === undefined || reply.answer !== undefined
            ? reply
            : { ...reply, retryAfterMs: Math.max(0, this.freeAtMs - nowMs) };
    }
}
