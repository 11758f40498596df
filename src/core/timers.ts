import type { Timer } from "./timer.ts";

/** Runs actions later. */
export interface Timers {
    /** Runs `action` once after `delayMs` milliseconds. */
    start(delayMs: number, action: () => void): Timer;
}
