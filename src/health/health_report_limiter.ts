/**
 * Reports a second that a daemon sends, and the most at once. A report takes about 45 bytes, so that they
 * stay below half of the 6 KB a second that the control plane may use.
 */
const reportsPerSecond = 60;
const burst = 16;

/** Limits the health reports that a daemon sends. */
export class HealthReportLimiter {
    private tokens = burst;
    private refilledAtMs = Number.NEGATIVE_INFINITY;

    /** Takes up to `count` reports and returns the number that may be sent now. */
    take(count: number, nowMs: number): number {
        const refill = Math.max(0, nowMs - this.refilledAtMs) * reportsPerSecond / 1_000;
        this.tokens = Math.min(burst, this.tokens + refill);
        this.refilledAtMs = nowMs;
        const taken = Math.min(count, Math.floor(this.tokens));
        this.tokens -= taken;
        return taken;
    }
}
