import type { RoutedRequest } from "../route/routed_request.ts";

/** What an upstream is selected for. */
export interface SelectionContext {
    readonly request: RoutedRequest;
    /** Monotonic milliseconds. */
    readonly nowMs: number;
    /** True when the request may be sent where it probably fails, to learn. */
    readonly canExplore: boolean;
    /** True when the owner shall let the request wait rather than refuse it. */
    readonly isLastResort: boolean;
    /** True when another attempt may follow a failure. */
    readonly isRetryable: boolean;
    /** Probability of a fault above which an upstream is suspected. */
    readonly suspicionLimit: number;
    /** Probability of a fault up to which the request may try a suspected upstream. */
    readonly trialLimit: number;
}
