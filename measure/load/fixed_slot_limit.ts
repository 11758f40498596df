import type { SlotLimit } from "../../src/queue/slot_limit.ts";

/** Always the nominal slots. */
export class FixedSlotLimit implements SlotLimit {
    constructor(private readonly nominal: number) {}

    getSlots(): number {
        return this.nominal;
    }

    recordEnd(): void {}
}
