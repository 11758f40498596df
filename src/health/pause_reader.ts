/** Measures for how long this process was paused. */
export interface PauseReader {
    /** Paused milliseconds between two monotonic times. */
    measurePausedMs(fromMs: number, toMs: number): number;
}
