/**
 * Failed calls to the platform's store and the outage that they show.
 *
 * @example
 * ```ts
 * outage.recordFailure({ startMs, endMs, timedOut: false });
 * const delayMs = outage.computeDelayMs(random.getFloat());
 * const { failures, canHaveExpired } = outage.takeEnd(nowMs);
 * ```
 *
 * @module
 */
interface FailedCall {
    /** Monotonic milliseconds. */
    readonly startMs: number;
    readonly endMs: number;
    readonly timedOut: boolean;
}

interface EndedOutage {
    readonly failures: number;
    /** True when entries of live upstreams can have expired in it. */
    readonly canHaveExpired: boolean;
}

/**
 * Shortest outage in milliseconds after which removed entries may be written again. Upstreams write every
 * 1.5 s and their entries outlive several missed writes, so none can expire in less time; one failed watch is
 * not an outage.
 */
const minOutageMs = 1_500;
/** Shortest and longest back-off in milliseconds after failed calls. */
const backoffMinMs = 100;
const backoffMaxMs = 1_000;

/** Counts the calls that failed since the last answer of the store. */
export class StoreOutage {
    private failures = 0;
    private startMs = 0;

    /** Returns true for the first failure. */
    recordFailure({ startMs, endMs, timedOut }: FailedCall): boolean {
        this.failures += 1;
        if (this.failures > 1) {
            return false;
        }
        // After a timeout the store may have been unreachable since the start of the call.
        this.startMs = timedOut ? startMs : endMs;
        return true;
    }

    /** Back-off before the next call; jitter between half and all of it keeps daemons from calling together. */
    computeDelayMs(randomNumber: number): number {
        const delayMs = Math.min(backoffMaxMs, backoffMinMs * 2 ** Math.min(this.failures - 1, 16));
        return delayMs * (0.5 + randomNumber / 2);
    }

    /** Ends the outage; undefined when there was none. */
    takeEnd(nowMs: number): EndedOutage | undefined {
        const { failures } = this;
        this.failures = 0;
        return failures === 0 ? undefined : { failures, canHaveExpired: nowMs - this.startMs >= minOutageMs };
    }
}
