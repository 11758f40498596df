import type { FloorResult } from "./floor_result.ts";
import type { SelectionFleet } from "./selection_fleet.ts";

/**
 * Length and step of the sliding window, and time without a fault after which an upstream counts as healthy
 * again.
 */
const windowMs = 2_000;
const stepMs = 100;
const recoveryMs = 2_000;

/** Measures all windows of 2 s between two times in virtual milliseconds. */
export function measureFloor(fleet: SelectionFleet, fromMs: number, toMs: number): FloorResult {
    let minUsedShare = 1;
    let minUnsuspectedShare = 1;
    for (let startMs = fromMs; startMs + windowMs <= toMs; startMs += stepMs) {
        const endMs = startMs + windowMs;
        const healthy = [...fleet.owners.values()].filter(({ upstream }) =>
            !upstream.hasFault(startMs - recoveryMs, endMs)
        );
        const unused = healthy.filter(({ upstream }) => upstream.countArrivals(startMs, endMs) === 0);
        const suspected = unused.filter(owner => owner.isSuspected(startMs, endMs));
        minUsedShare = Math.min(minUsedShare, 1 - unused.length / healthy.length);
        minUnsuspectedShare = Math.min(minUnsuspectedShare, 1 - suspected.length / healthy.length);
    }
    return { minUsedShare, minUnsuspectedShare };
}
