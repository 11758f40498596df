import type { RequestRecord } from "./request_record.ts";

/** Results of one run. */
export interface LoadResult {
    readonly requests: RequestRecord[];
    /**
     * Wait in milliseconds of the work that started during the measurement, for each stream: from the arrival
     * at the entry daemon to the start, minus one hop. Includes the waits and hops of refused attempts.
     */
    readonly waitsMs: Map<string, number[]>;
    /** Slot time during the measurement in milliseconds, by whether the answer met the deadline. */
    readonly slotMs: { useful: number; expired: number; };
    /** Attempts of entry daemons during the measurement. */
    attempts: number;
    /** Largest number of queued requests seen at one owner. */
    maxQueued: number;
}
