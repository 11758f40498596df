import type { Result } from "neverthrow";
import type { Failure } from "../core/failure.ts";
import type { StorePage } from "./store_page.ts";

/** A store of configuration and upstreams with one revision for all values, which the platform writes. */
export interface PlatformStore {
    /** All values. Fails with PlatformUnreachable or PlatformBadValue. */
    fetchAll(): Promise<Result<StorePage, Failure>>;
    /**
     * Changes after a revision, as soon as there are any and after `waitMs` milliseconds at the latest. Fails with
     * PlatformHistoryGone when the store no longer knows them. `signal` gives up the call and its connection.
     */
    watch(
        afterRevision: number,
        waitMs: number,
        signal?: AbortSignal,
    ): Promise<Result<StorePage, Failure>>;
    close(): void;
}
