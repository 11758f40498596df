/**
 * Time of the last answer of the platform's store to any daemon of the failure domain.
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

    /** Records an answer of the store to this daemon. */
    record(nowMs: number): void {
        this.recordPeer(0, nowMs);
    }

    /** Records an answer of the store that another daemon knows of. */
    recordPeer(ageMs: number, nowMs: number): void {
        this.atMs = Math.max(this.atMs, nowMs - Math.max(0, ageMs));
    }

    /** Milliseconds since the last answer; infinite when there was none. */
    getAgeMs(nowMs: number): number {
        return nowMs - this.atMs;
    }
}
