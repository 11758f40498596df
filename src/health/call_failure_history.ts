/**
 * Failures of requests that were sent from this instance, which include the calls that its upstream makes while
 * it runs a request.
 *
 * @example
 * ```ts
 * history.record(nowMs);
 * history.hasRecent(nowMs + 3);
 * ```
 *
 * @module
 */

/**
 * Milliseconds between the failure of a call and that of the request that made it. Both processes run on the
 * same instance; the rest is scheduling on a busy one.
 */
const maxDelayMs = 50;

/** Remembers the last failure. */
export class CallFailureHistory {
    private lastAtMs = -Infinity;

    record(nowMs: number): void {
        this.lastAtMs = nowMs;
    }

    /** True when a request that fails now may have failed because of a call that it made. */
    hasRecent(nowMs: number): boolean {
        return nowMs - this.lastAtMs <= maxDelayMs;
    }
}
