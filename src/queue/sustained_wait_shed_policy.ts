import type { ShedPolicy } from "./shed_policy.ts";

/**
 * Time in milliseconds for which waits must stay above target before the queue sheds. A burst that the queue
 * absorbs within this time causes no refusals; the value is the interval of RFC 8289 (controlled delay).
 */
const intervalMs = 100;

/**
 * Sheds arriving requests that would wait longer than the target. Shedding starts when all waits have been
 * above the target for an interval, and stops when all waits have been below half the target for an interval.
 * This hysteresis keeps the queue from filling up again each time that shedding has reduced the wait to the
 * target. Queued requests are not shed, so that a refusal reaches the caller without any wait.
 */
export class SustainedWaitShedPolicy implements ShedPolicy {
    private shedding = false;
    /** Monotonic milliseconds since which all waits have favoured a change of `shedding`. */
    private changePendingSinceMs: number | undefined;

    isShedding(): boolean {
        return this.shedding;
    }

    decideShedOnArrival(_nowMs: number, expectedWaitMs: number, targetWaitMs: number): boolean {
        return this.shedding && expectedWaitMs > targetWaitMs;
    }

    decideShedOnStart(nowMs: number, waitedMs: number, targetWaitMs: number): boolean {
        const favoursChange = this.shedding ? waitedMs < targetWaitMs / 2 : waitedMs > targetWaitMs;
        if (!favoursChange) {
            this.changePendingSinceMs = undefined;
            return false;
        }
        this.changePendingSinceMs ??= nowMs;
        if (nowMs - this.changePendingSinceMs >= intervalMs) {
            this.shedding = !this.shedding;
            this.changePendingSinceMs = undefined;
        }
        return false;
    }
}
