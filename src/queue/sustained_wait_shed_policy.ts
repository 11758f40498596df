import type { ShedPolicy } from "./shed_policy.ts";

/**
 * Time in milliseconds for which waits must stay above target before the queue sheds. A burst that the queue absorbs
 * within this time loses no work; the value is the interval of RFC 8289 (controlled delay).
 */
const intervalMs = 100;

/**
 * While no request has waited less than the target for an interval, refuses arrivals that would wait longer than
 * the target. Work that has been queued is not shed, so a refusal reaches the caller without any wait.
 */
export class SustainedWaitShedPolicy implements ShedPolicy {
    private aboveSinceMs: number | undefined;

    decideArrival(nowMs: number, expectedWaitMs: number, targetWaitMs: number): boolean {
        return this.aboveSinceMs !== undefined && nowMs - this.aboveSinceMs >= intervalMs
            && expectedWaitMs > targetWaitMs;
    }

    decideStart(nowMs: number, waitedMs: number, targetWaitMs: number): boolean {
        if (waitedMs <= targetWaitMs) {
            this.aboveSinceMs = undefined;
        }
        else {
            this.aboveSinceMs ??= nowMs;
        }
        return false;
    }
}
