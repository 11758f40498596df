import type { Timer } from "../../core/timer.ts";
import type { Timers } from "../../core/timers.ts";

/** Timers of the event loop. */
export class SystemTimers implements Timers {
    start(delayMs: number, action: () => void): Timer {
        const handle = setTimeout(action, delayMs);
        return { close: () => clearTimeout(handle) };
    }
}
