import type { TryRecord } from "./try_record.ts";

/** What one run produced. */
export interface LoadResult {
    readonly tries: TryRecord[];
    /** Time in the owner's queue of work that started during the measurement, for each stream. */
    readonly waitsMs: Map<string, number[]>;
    /** Slot time during the measurement in milliseconds, by use. */
    readonly slotMs: { useful: number; expired: number; };
    /** Attempts of entry daemons during the measurement. */
    attempts: number;
    /** Largest number of queued requests seen at one owner. */
    mostQueued: number;
}
