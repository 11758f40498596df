import type { LoopDelays } from "./loop_delays.ts";

/** Delays of the event loop. */
export interface LoopDelayReader {
    /** The delays since the last call. */
    takeDelays(): LoopDelays;
}
