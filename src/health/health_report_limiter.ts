/**
 * Health reports that a daemon may send a second and at once. A report takes about 45 bytes, so that they
 * stay below half of the 6 KB a second that the control plane may use.
 */
const reportsPerSecond = 60;
const burst = 16;

/** Token bucket that limits the health reports sent by a daemon. */
export class HealthReportLimiter {
    private tokens = burst;
    private refilledAtMs = Number.NEGATIVE_INFINITY;

    /** Takes up to `count` tokens and returns the number of reports that may be sent now. */
    take(count: number, nowMs: number): number {
        const refill = Math.max(0, nowMs - this.refilledAtMs) * reportsPerSecond / 1_000;
        this.tokens = Math.min(burst, this.tokens + refill);
        this.refilledAtMs = nowMs;
        const taken = Math.min(count, Math.floor(this.tokens));
        this.tokens -= taken;
        return taken;
    }
}
