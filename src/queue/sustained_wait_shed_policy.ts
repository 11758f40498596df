import type { ShedPolicy } from "./shed_policy.ts";

/**
 * Time in milliseconds for which waits must stay above target before the queue sheds. A burst that the queue absorbs
 * within this time loses no work; the value is the interval of RFC 8289 (controlled delay).
 */
const intervalMs = 100;

/**
 * Sheds arrivals that would wait longer than the target, from the time when no request has waited less than the
 * target for an interval until no request has waited more than half of it for an interval. The gap keeps the queue
 * from filling up again each time that shedding has brought the wait down to the target. Queued work is not shed, so
 * a refusal reaches the caller without any wait.
 */
export class SustainedWaitShedPolicy implements ShedPolicy {
    private shedding = false;
    /** Monotonic milliseconds since which all waits have spoken for a change of `shedding`. */
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
