/** Limits the number of requests that run concurrently on an upstream. */
export interface SlotLimit {
    /** At least 1 and at most the nominal slots. */
    getSlots(nowMs: number): number;
    /** Records the end of a request; `running` counts the slots in use when it started, including its own. */
    recordEnd(nowMs: number, running: number, shed: boolean): void;
}
