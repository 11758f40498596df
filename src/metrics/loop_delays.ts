/** How late timers ran in a period, in milliseconds. */
export interface LoopDelays {
    readonly largestMs: number;
    readonly meanMs: number;
}
