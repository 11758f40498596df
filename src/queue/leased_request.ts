import type { OwnerRequest } from "./owner_request.ts";
import type { SlotLease } from "./slot_lease.ts";

/** An attempt that holds a slot. */
export interface LeasedRequest extends OwnerRequest {
    readonly lease: SlotLease;
    readonly waitMs: number;
}
