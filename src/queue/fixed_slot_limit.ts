import type { SlotLimit } from "./slot_limit.ts";

/** Always the nominal slots, for upstreams that shed for reasons other than the load from their owner. */
export class FixedSlotLimit implements SlotLimit {
    constructor(private readonly nominal: number) {}

    getSlots(): number {
        return this.nominal;
    }

    recordEnd(): void {
        // A shed request does not mean that these upstreams have fewer slots.
    }
}
