import type { AnsweredCall } from "./answered_call.ts";
import { compareRevisions } from "./compare_revisions.ts";
import type { StorePage } from "./store_page.ts";
import type { StoreRevision } from "./store_revision.ts";

/**
 * Up to which moment an answer is certain to hold all changes: its arrival proves nothing, because it can lie in the
 * buffers of a stopped process. A watch that waited in vain held until the end of its wait, any other call at its
 * start. A watch also ends early with changes of values that are not read here, which only its revision shows.
 */
export function computeHeldMs(
    page: StorePage,
    after: StoreRevision | undefined,
    { endMs, startMs, waitMs }: AnsweredCall,
): number {
    const isInVain = after !== undefined && compareRevisions(page.revision, after) === 0;
    return isInVain && endMs >= startMs + waitMs ? startMs + waitMs : startMs;
}
