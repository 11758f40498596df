import type { SelectedRequest } from "../select/selected_request.ts";

/** Upstream selected for an attempt with an idempotency key. */
export interface KeyedSelection {
    readonly selected: SelectedRequest;
    /** False when the owner has no upstream that should get new work. */
    readonly preferred: boolean;
}
