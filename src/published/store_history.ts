/**
 * Recent changes of the platform's store, for daemons that do not read the store themselves.
 *
 * @example
 * ```ts
 * history.record(5, page, nowMs);
 * history.find(5, nowMs)?.items;
 * ```
 *
 * @module
 */
import type { StorePage } from "./store_page.ts";

interface RecordedPage {
    /** The page holds all changes after this revision, up to its own. */
    readonly afterRevision: number;
    readonly page: StorePage;
    readonly atMs: number;
}

/** Changes in the platform's encoding, complete up to `revision`. */
interface StoredChanges {
    readonly revision: number;
    readonly items: readonly string[];
}

/** Milliseconds for which changes are kept; the platform keeps them for about as long. */
const maxAgeMs = 20_000;
/** Most pages that are kept. */
const maxPages = 100;

/** Keeps the pages of changes that were applied, in order. */
export class StoreHistory {
    private pages: RecordedPage[] = [];

    /** Records a page of the changes after `afterRevision`. */
    record(afterRevision: number, page: StorePage, nowMs: number): void {
        if (page.revision <= afterRevision) {
            return;
        }
        // A gap hides changes from daemons that have read less than the new page starts from.
        if (this.pages.at(-1)?.page.revision !== afterRevision) {
            this.pages = [];
        }
        this.pages.push({ afterRevision, page, atMs: nowMs });
        this.removeOld(nowMs);
    }

    /** Undefined when some of the changes after the revision are unknown. */
    find(afterRevision: number, nowMs: number): StoredChanges | undefined {
        this.removeOld(nowMs);
        const newest = this.pages.at(-1);
        const [oldest] = this.pages;
        if (oldest === undefined || newest === undefined || afterRevision < oldest.afterRevision) {
            return undefined;
        }
        const newer = this.pages.filter(({ page }) => page.revision > afterRevision);
        return { revision: newest.page.revision, items: newer.flatMap(({ page }) => page.items) };
    }

    purge(): void {
        this.pages = [];
    }

    private removeOld(nowMs: number): void {
        this.pages = this.pages.slice(-maxPages).filter(({ atMs }) => nowMs - atMs <= maxAgeMs);
    }
}
