/**
 * What this daemon has read of the platform's store lately, for daemons that do not read the store themselves.
 *
 * @example
 * ```ts
 * history.record(undefined, completePage, nowMs);
 * history.record(5, page, nowMs);
 * history.find(5, nowMs)?.items;
 * ```
 *
 * @module
 */
import { compareRevisions } from "./compare_revisions.ts";
import { maxSharedLength } from "./max_shared_length.ts";
import type { StorePage } from "./store_page.ts";
import type { StoreRevision } from "./store_revision.ts";

interface RecordedPage {
    /** The page holds all changes after this revision, up to its own; undefined when it holds all values. */
    readonly afterRevision: StoreRevision | undefined;
    readonly page: StorePage;
    readonly atMs: number;
}

/** Values in the platform's encoding, up to `revision`. */
interface StoredChanges {
    readonly revision: StoreRevision;
    readonly items: readonly string[];
    /** True when the items are all values and not only the changes. */
    readonly complete: boolean;
    /** True when the changes are known and too large to be passed on; there are no items then. */
    readonly tooLarge?: boolean;
}

/** Milliseconds for which pages are kept; the platform keeps its history for about as long. */
const maxAgeMs = 20_000;
/** Most pages that are kept. */
const maxPages = 100;

/** Keeps the pages that were applied, in order. */
export class StoreHistory {
    private pages: RecordedPage[] = [];

    /** Records a page of the changes after `afterRevision`, or one with all values. */
    record(afterRevision: StoreRevision | undefined, page: StorePage, nowMs: number): void {
        if (afterRevision !== undefined && compareRevisions(page.revision, afterRevision) <= 0) {
            return;
        }
        const newest = this.pages.at(-1);
        // A gap hides changes from daemons that have read less than the new page starts from.
        if (
            afterRevision === undefined || newest === undefined
            || compareRevisions(newest.page.revision, afterRevision) !== 0
        ) {
            this.pages = [];
        }
        this.pages.push({ afterRevision, page, atMs: nowMs });
        this.removeOld(nowMs);
    }

    /** Undefined when some of the changes after the revision are unknown. */
    find(afterRevision: StoreRevision, nowMs: number): StoredChanges | undefined {
        this.removeOld(nowMs);
        const newest = this.pages.at(-1);
        const [oldest] = this.pages;
        if (oldest === undefined || newest === undefined) {
            return undefined;
        }
        const isBefore = (revision: StoreRevision) => compareRevisions(afterRevision, revision) < 0;
        const complete = oldest.afterRevision === undefined && isBefore(oldest.page.revision);
        if (!complete && isBefore(oldest.afterRevision ?? oldest.page.revision)) {
            return undefined;
        }
        const items = this.pages.filter(({ page }) => isBefore(page.revision))
            .flatMap(({ page }) => page.items);
        const length = items.reduce((sum, item) => sum + item.length, 0);
        const { revision } = newest.page;
        return length > maxSharedLength
            ? { revision, items: [], complete, tooLarge: true }
            : { revision, items, complete };
    }

    private removeOld(nowMs: number): void {
        this.pages = this.pages.slice(-maxPages).filter(({ atMs }) => nowMs - atMs <= maxAgeMs);
    }
}
