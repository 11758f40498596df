/**
 * Latest moment for which an answer of the platform's store to any daemon of the failure domain is known to hold.
 * An answer that took long, or that the store made of an older state, does not describe the moment of its arrival.
 *
 * @example
 * ```ts
 * contact.record(nowMs);
 * contact.recordPeer(300, nowMs);
 * contact.getAgeMs(nowMs + 100);
 * ```
 *
 * @module
 */

/** Combines the contacts of this daemon with those that other daemons report. */
export class StoreContact {
    private atMs = -Infinity;

    /** Records an answer to this daemon that holds for a monotonic time in milliseconds. */
    record(atMs: number): void {
        this.atMs = Math.max(this.atMs, atMs);
    }

    /** Records an answer of the store that another daemon knows of. */
    recordPeer(ageMs: number, nowMs: number): void {
        this.record(nowMs - Math.max(0, ageMs));
    }

    /** Milliseconds since the last contact; infinite when there was none. */
    getAgeMs(nowMs: number): number {
        return nowMs - this.atMs;
    }
}
