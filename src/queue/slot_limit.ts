/** Number of requests that an upstream may run at once. */
export interface SlotLimit {
    /** At least 1 and at most the nominal slots. */
    getSlots(nowMs: number): number;
    /** Records the end of a request; `running` is the number of slots that were held when it started, with its own. */
    recordEnd(nowMs: number, running: number, shed: boolean): void;
}
