import type { SlotLimit } from "./slot_limit.ts";

/** Always the nominal slots, for upstreams that shed for other reasons than the load that the owner gives them. */
export class FixedSlotLimit implements SlotLimit {
    constructor(private readonly nominal: number) {}

    getSlots(): number {
        return this.nominal;
    }

    recordEnd(): void {
        // A shed request says nothing about the slots.
    }
}
