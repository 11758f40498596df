import type { RoutedRequest } from "../route/routed_request.ts";
import type { BackgroundLoad } from "./background_load.ts";

/** Inputs and limits of one selection. */
export interface SelectionContext {
    readonly request: RoutedRequest;
    /** Monotonic milliseconds. */
    readonly nowMs: number;
    /** True when the request may go to an upstream that is likely to fail, to find out its state. */
    readonly canExplore: boolean;
    /**
     * True when no upstream can serve the request at once, so that its owner must queue it rather than
     * redirect it.
     */
    readonly isLastResort: boolean;
    /** True when another attempt may follow a failure. */
    readonly isRetryable: boolean;
    /** True when the request may be a trial request; one that an owner has refused goes to a trusted upstream. */
    readonly canTry: boolean;
    readonly background: BackgroundLoad;
    /** Fault probability above which an upstream is suspected. */
    readonly suspicionLimit: number;
    /** Fault probability up to which the request may be a trial request to a suspected upstream. */
    readonly trialLimit: number;
}
