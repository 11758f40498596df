import type { Clock } from "../../core/clock.ts";

/** Clock of the operating system. */
export class SystemClock implements Clock {
    getMonotonicMs(): number {
        return performance.now();
    }

    getWallMs(): number {
        return Date.now();
    }
}
