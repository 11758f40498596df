/** How late timers ran in a period, in milliseconds. */
export interface EventLoopDelays {
    readonly largestMs: number;
    readonly meanMs: number;
}
