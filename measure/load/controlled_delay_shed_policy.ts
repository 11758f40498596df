import type { ShedPolicy } from "../../src/queue/shed_policy.ts";

/** Interval of RFC 8289 in milliseconds. */
const intervalMs = 100;

/** Controlled delay (Nichols and Jacobson, RFC 8289, section 5), which sheds at the head of the queue. */
export class ControlledDelayShedPolicy implements ShedPolicy {
    private firstAboveMs = 0;
    private dropping = false;
    private dropNextMs = 0;
    private count = 0;
    private lastCount = 0;

    isShedding(): boolean {
        return this.dropping;
    }

    decideShedOnArrival(): boolean {
        return false;
    }

    decideShedOnStart(nowMs: number, waitedMs: number, targetWaitMs: number): boolean {
        const sustained = this.isSustained(nowMs, waitedMs, targetWaitMs);
        if (!this.dropping) {
            if (!sustained) {
                return false;
            }
            const delta = this.count - this.lastCount;
            this.dropping = true;
            this.count = delta > 1 && nowMs - this.dropNextMs < 16 * intervalMs ? delta : 1;
            this.lastCount = this.count;
            this.dropNextMs = nowMs + intervalMs / Math.sqrt(this.count);
            return true;
        }
        if (!sustained) {
            this.dropping = false;
            return false;
        }
        if (nowMs < this.dropNextMs) {
            return false;
        }
        this.count += 1;
        this.dropNextMs += intervalMs / Math.sqrt(this.count);
        return true;
    }

    private isSustained(nowMs: number, waitedMs: number, targetWaitMs: number): boolean {
        if (waitedMs < targetWaitMs) {
            this.firstAboveMs = 0;
            return false;
        }
        if (this.firstAboveMs === 0) {
            this.firstAboveMs = nowMs + intervalMs;
            return false;
        }
        return nowMs >= this.firstAboveMs;
    }
}
