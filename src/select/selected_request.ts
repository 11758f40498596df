import type { Upstream } from "../core/upstream.ts";
import type { RoutedRequest } from "../route/routed_request.ts";
import type { SelectionBasis } from "./selection_basis.ts";

/** One attempt of a request, bound for one upstream. */
export interface SelectedRequest extends RoutedRequest {
    /** Counts from 1. */
    readonly attempt: number;
    readonly upstream: Upstream;
    /** Service time in milliseconds above which the answer counts as slow; 0 when no baseline is known. */
    readonly baselineMs: number;
    /** True for a request that tries an ejected upstream. */
    readonly trial: boolean;
    /** True when the owner may refuse the attempt because another upstream may serve it sooner. */
    readonly redirectable?: boolean;
    /** Probability of a fault above which the owner shall refuse the attempt before dispatch. */
    readonly faultLimit?: number | undefined;
    /** True when the owner is in another failure domain. */
    readonly remote?: boolean;
    /** Incarnation of the owner that this daemon knew when it sent the attempt; a revocation names it. */
    readonly ownerIncarnation?: string | undefined;
    /** For the log. */
    readonly basis?: SelectionBasis;
}
