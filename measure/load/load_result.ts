import type { RequestRecord } from "./request_record.ts";

/** What one run produced. */
export interface LoadResult {
    readonly requests: RequestRecord[];
    /**
     * Milliseconds from the arrival at the entry daemon to the start, less one hop, of work that started during the
     * measurement, for each stream. Contains the waits and hops of refused attempts.
     */
    readonly waitsMs: Map<string, number[]>;
    /** Slot time during the measurement in milliseconds, by use. */
    readonly slotMs: { useful: number; expired: number; };
    /** Attempts of entry daemons during the measurement. */
    attempts: number;
    /** Largest number of queued requests seen at one owner. */
    maxQueued: number;
}
