import type { SelectedRequest } from "../select/selected_request.ts";

/** Upstream for an attempt with a key. */
export interface KeyedSelection {
    readonly selected: SelectedRequest;
    /** False when the owner has no upstream that should get new work. */
    readonly preferred: boolean;
}
