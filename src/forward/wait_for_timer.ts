import type { Timers } from "../core/timers.ts";

/** Resolves after `delayMs` milliseconds; `close` cancels the timer, and the promise then stays pending. */
export function waitForTimer(
    timers: Timers,
    delayMs: number,
): { done: Promise<undefined>; close: () => void; } {
    let close: () => void = () => undefined;
    const done = new Promise<undefined>(resolve => {
        const timer = timers.start(Math.max(0, delayMs), () => resolve(undefined));
        close = () => timer.close();
    });
    return { done, close };
}
