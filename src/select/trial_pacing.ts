/**
 * Spaces the trial requests that one entry daemon sends to one suspected upstream.
 *
 * Load: a third of the upstreams fail, and each of many entry daemons sends trial requests to all of them.
 * Their owners accept one in an interval and refuse the others, which cost an attempt each.
 *
 * @example
 * ```ts
 * if (pacing.isDue(nowMs)) {
 *     pacing.recordStart(nowMs);
 *     pacing.recordEnd(wasRefused);
 * }
 * ```
 *
 * @module
 */
import { suspicionLimits } from "../health/suspicion_limits.ts";

const { trialIntervalMs } = suspicionLimits;
/**
 * Longest interval in milliseconds. About as many daemons as a failure domain has then share the trial
 * requests that an owner accepts.
 */
const maxIntervalMs = 32 * trialIntervalMs;

/**
 * Doubles the interval when the owner refuses a trial request, because other daemons have sent one, and halves
 * it when the owner accepts one. The daemons together then send about twice as many as the owner accepts,
 * however many they are.
 */
export class TrialPacing {
    private intervalMs: number = trialIntervalMs;
    private startedAtMs = -Infinity;

    /** `nowMs` is monotonic. */
    isDue(nowMs: number): boolean {
        return nowMs - this.startedAtMs >= this.intervalMs;
    }

    recordStart(nowMs: number): void {
        this.startedAtMs = nowMs;
    }

    recordEnd(wasRefused: boolean): void {
        this.intervalMs = wasRefused
            ? Math.min(maxIntervalMs, 2 * this.intervalMs)
            : Math.max(trialIntervalMs, this.intervalMs / 2);
    }
}
