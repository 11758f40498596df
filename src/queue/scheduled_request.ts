import type { OwnerRequest } from "./owner_request.ts";
import type { SlotPermit } from "./slot_permit.ts";

/** An attempt that holds a slot of its upstream. */
export interface ScheduledRequest extends OwnerRequest {
    readonly permit: SlotPermit;
    /** Milliseconds in the queue. */
    readonly waitMs: number;
}
