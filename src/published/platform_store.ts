import type { Result } from "neverthrow";
import type { Failure } from "../core/failure.ts";
import type { StoreCallOptions } from "./store_call_options.ts";
import type { StoreChange } from "./store_change.ts";
import type { StorePage } from "./store_page.ts";
import type { StoreRevision } from "./store_revision.ts";

/** Store of the platform for configuration and upstreams, with one revision for all values. */
export interface PlatformStore {
    /** Reads all values. Fails with PlatformUnreachable or PlatformBadValue. */
    fetchAll(options?: StoreCallOptions): Promise<Result<StorePage, Failure>>;
    /**
     * Waits up to `waitMs` milliseconds for changes after a revision and returns them. Fails with
     * PlatformHistoryGone when the store no longer has them.
     */
    watch(
        afterRevision: StoreRevision,
        waitMs: number,
        options?: StoreCallOptions,
    ): Promise<Result<StorePage, Failure>>;
    /** Reads the store's revision at a tenth of the cost of a call; the answer can be some seconds old. */
    fetchRevision(): Promise<Result<StoreRevision, Failure>>;
    /** Decodes the `items` of a page that another daemon has read. */
    decode(items: readonly string[]): readonly StoreChange[];
    close(): void;
}
