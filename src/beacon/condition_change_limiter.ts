import type { Clock } from "../core/clock.ts";

/** Beacons with news that a daemon sends at once, and a second in the long run. */
const burst = 12;
const perSecond = 4;

/** Token bucket that bounds what news cost; news that find no token travel with the next probes. */
export class ConditionChangeLimiter {
    private tokens = burst;
    private updatedAtMs = 0;

    constructor(private readonly clock: Clock) {}

    /** False when no beacon may be sent now. */
    has(): boolean {
        const nowMs = this.clock.getMonotonicMs();
        this.tokens = Math.min(burst, this.tokens + (nowMs - this.updatedAtMs) / 1_000 * perSecond);
        this.updatedAtMs = nowMs;
        return this.tokens >= 1;
    }

    /** False when the beacon must not be sent now. */
    take(): boolean {
        if (!this.has()) {
            return false;
        }
        this.tokens -= 1;
        return true;
    }
}
