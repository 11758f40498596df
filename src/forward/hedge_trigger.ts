import type { Timer } from "../core/timer.ts";
import type { Timers } from "../core/timers.ts";
import { SecondAttemptCause } from "./second_attempt_cause.ts";

/** Tells when a second attempt is due while another one runs. `close` stops its timer. */
export class HedgeTrigger {
    private timer: Timer | undefined;
    private resolveDue: (cause: SecondAttemptCause) => void = () => undefined;
    private due = this.createDue();

    constructor(private readonly timers: Timers) {}

    /** Starts again for an attempt that is late after `delayMs`, or never late when it is undefined. */
    start(delayMs: number | undefined): void {
        this.close();
        this.due = this.createDue();
        this.timer = delayMs === undefined
            ? undefined
            : this.timers.start(delayMs, () => this.resolveDue(SecondAttemptCause.Late));
    }

    /** The owner has not confirmed the receipt of an attempt in time. */
    handleUnconfirmed(): void {
        this.resolveDue(SecondAttemptCause.Unconfirmed);
    }

    /** Resolves when a second attempt is due. */
    wait(): Promise<SecondAttemptCause> {
        return this.due;
    }

    close(): void {
        this.timer?.close();
    }

    private createDue(): Promise<SecondAttemptCause> {
        return new Promise(resolve => {
            this.resolveDue = resolve;
        });
    }
}
