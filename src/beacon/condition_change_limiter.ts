import type { Clock } from "../core/clock.ts";

/** Beacons with condition changes that a daemon sends at once, and a second on average. */
const burst = 12;
const perSecond = 4;

/**
 * Token bucket that limits the beacons with condition changes. Changes without a token are sent with the next
 * probes.
 */
export class ConditionChangeLimiter {
    private tokens = burst;
    private updatedAtMs = 0;

    constructor(private readonly clock: Clock) {}

    /** True when a beacon may be sent now. */
    hasToken(): boolean {
        const nowMs = this.clock.getMonotonicMs();
        this.tokens = Math.min(burst, this.tokens + (nowMs - this.updatedAtMs) / 1_000 * perSecond);
        this.updatedAtMs = nowMs;
        return this.tokens >= 1;
    }

    /** Takes a token; false when there is none and the beacon must not be sent now. */
    takeToken(): boolean {
        if (!this.hasToken()) {
            return false;
        }
        this.tokens -= 1;
        return true;
    }
}
