/**
 * Failed calls to the platform's store and the outage that they show.
 *
 * @example
 * ```ts
 * outage.recordFailure({ startMs, endMs, timedOut: false });
 * const delayMs = outage.computeDelayMs(random.getFloat());
 * const canHaveExpired = outage.recordAnswer(answeredMs);
 * const failures = outage.takeFailures();
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

/**
 * Shortest outage in milliseconds after which removed entries may be written again. Upstreams write every
 * 1.5 s and their entries outlive several missed writes, so none can expire in less time; one failed watch is
 * not an outage.
 */
const minOutageMs = 1_500;
/** Shortest and longest back-off in milliseconds after failed calls. */
const backoffMinMs = 100;
const backoffMaxMs = 1_000;

/**
 * Counts the calls of this daemon that failed since its last answer, and measures the time in which the store
 * answered no daemon. Another daemon can end the latter only: a store that refuses this daemon alone must not be
 * called more often because it answers others.
 */
export class StoreOutage {
    private failures = 0;
    /** Start of the first failed call after the newest answer; undefined when none has failed since. */
    private startMs: number | undefined;
    private lastFailureMs = -Infinity;
    /** Newest answer to any daemon. */
    private lastAnswerMs = -Infinity;

    /** Returns true for the first failure. */
    recordFailure({ startMs, endMs, timedOut }: FailedCall): boolean {
        this.failures += 1;
        this.lastFailureMs = endMs;
        // After a timeout the store may have been unreachable since the start of the call.
        this.startMs ??= timedOut ? startMs : endMs;
        return this.failures === 1;
    }

    /** Back-off before the next call; jitter between half and all of it keeps daemons from calling together. */
    computeDelayMs(randomNumber: number): number {
        const delayMs = Math.min(backoffMaxMs, backoffMinMs * 2 ** Math.min(this.failures - 1, 16));
        return delayMs * (0.5 + randomNumber / 2);
    }

    /**
     * Records that the store answered some daemon at a monotonic time in milliseconds. Returns true when no daemon had
     * an answer for so long before that entries of live upstreams can have expired.
     */
    recordAnswer(answeredMs: number): boolean {
        const { lastAnswerMs, startMs } = this;
        if (answeredMs <= lastAnswerMs) {
            return false;
        }
        this.lastAnswerMs = answeredMs;
        if (startMs === undefined) {
            return false;
        }
        // A call of this daemon that failed later is a part of the same outage or of a new one.
        this.startMs = answeredMs < this.lastFailureMs ? startMs : undefined;
        return answeredMs - Math.max(startMs, lastAnswerMs) >= minOutageMs;
    }

    /** Returns the failed calls of this daemon since the last time and counts from 0 again. */
    takeFailures(): number {
        const { failures } = this;
        this.failures = 0;
        return failures;
    }
}
