import { err, ok, type Result } from "neverthrow";
import { Code } from "../core/code.ts";
import { createFailure } from "../core/create_failure.ts";
import type { Failure } from "../core/failure.ts";
import { compareRevisions } from "./compare_revisions.ts";
import type { StorePage } from "./store_page.ts";
import type { StoreRevision } from "./store_revision.ts";

/** A store that came back from an older copy has given the revisions of a watch out again, or lacks them. */
export function checkContinuation(page: StorePage, after: StoreRevision): Result<StorePage, Failure> {
    return page.revision.era === after.era && compareRevisions(page.revision, after) >= 0
        ? ok(page)
        : err(createFailure(Code.PlatformHistoryGone));
}
