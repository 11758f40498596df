import type { FloorResult } from "./floor_result.ts";
import type { SelectionFleet } from "./selection_fleet.ts";

/** Length and step of the sliding window, and time after which an upstream that failed by itself is sound again. */
const windowMs = 2_000;
const stepMs = 100;
const soundAfterMs = 2_000;

/** Looks at all spans of 2 s between two times in virtual milliseconds. */
export function measureFloor(fleet: SelectionFleet, fromMs: number, toMs: number): FloorResult {
    let leastShare = 1;
    let leastUnsuspectedShare = 1;
    for (let startMs = fromMs; startMs + windowMs <= toMs; startMs += stepMs) {
        const endMs = startMs + windowMs;
        const sound = [...fleet.owners.values()].filter(({ upstream }) =>
            !upstream.hasSpell(startMs - soundAfterMs, endMs)
        );
        const unused = sound.filter(({ upstream }) => upstream.countArrivals(startMs, endMs) === 0);
        const suspected = unused.filter(owner => owner.isSuspected(startMs, endMs));
        leastShare = Math.min(leastShare, 1 - unused.length / sound.length);
        leastUnsuspectedShare = Math.min(leastUnsuspectedShare, 1 - suspected.length / sound.length);
    }
    return { leastShare, leastUnsuspectedShare };
}
