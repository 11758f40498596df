import type { SlotLimit } from "../../src/queue/slot_limit.ts";

/** Always allows the nominal number of slots. */
export class FixedSlotLimit implements SlotLimit {
    constructor(private readonly nominal: number) {}

    getSlots(): number {
        return this.nominal;
    }

    recordEnd(): void {}
}
