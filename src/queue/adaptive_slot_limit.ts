import type { SlotLimit } from "./slot_limit.ts";

/** Milliseconds without a shed request after which the limit grows by one; doubles while increases fail. */
const minIncreaseDelayMs = 1_000;
const maxIncreaseDelayMs = 30_000;

/** Lowers the limit while the upstream sheds at its nominal slots. Each increase risks one shed request. */
export class AdaptiveSlotLimit implements SlotLimit {
    private slots: number;
    private increaseDelayMs = minIncreaseDelayMs;
    private changedAtMs = -Infinity;

    constructor(private readonly nominal: number) {
        this.slots = nominal;
    }

    getSlots(nowMs: number): number {
        if (this.slots < this.nominal && nowMs - this.changedAtMs >= this.increaseDelayMs) {
            this.slots += 1;
            this.changedAtMs = nowMs;
        }
        return this.slots;
    }

    recordEnd(nowMs: number, running: number, shed: boolean): void {
        if (shed && running <= this.slots) {
            const increaseFailed = nowMs - this.changedAtMs < this.increaseDelayMs;
            this.increaseDelayMs = increaseFailed
                ? Math.min(maxIncreaseDelayMs, 2 * this.increaseDelayMs)
                : minIncreaseDelayMs;
            this.slots = Math.max(1, running - 1);
            this.changedAtMs = nowMs;
        }
    }
}
