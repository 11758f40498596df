import type { EventLoopDelays } from "./event_loop_delays.ts";

/** Delays of the event loop. */
export interface EventLoopDelayReader {
    /** The delays since the last call. */
    takeDelays(): EventLoopDelays;
}
