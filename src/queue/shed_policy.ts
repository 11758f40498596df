/** Decides when a queue sheds load because its wait stays too long. All times are in milliseconds. */
export interface ShedPolicy {
    isShedding(): boolean;
    /** True when an arriving request with this expected wait is refused. */
    decideShedOnArrival(nowMs: number, expectedWaitMs: number, targetWaitMs: number): boolean;
    /** Records the wait of a request that is next to start; true when it is refused instead. */
    decideShedOnStart(nowMs: number, waitedMs: number, targetWaitMs: number): boolean;
}
