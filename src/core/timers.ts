import type { Timer } from "./timer.ts";

export interface Timers {
    /** Runs `action` once after `delayMs` milliseconds. */
    start(delayMs: number, action: () => void): Timer;
}
