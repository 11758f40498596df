import type { EventLoopDelays } from "./event_loop_delays.ts";

/** Provides the delays of the event loop. */
export interface EventLoopDelayReader {
    /** Returns the delays since the last call and resets them. */
    takeDelays(): EventLoopDelays;
}
