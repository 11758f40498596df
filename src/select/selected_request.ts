import type { Upstream } from "../core/upstream.ts";
import type { RoutedRequest } from "../route/routed_request.ts";
import type { SelectionBasis } from "./selection_basis.ts";

/** One attempt of a request and the upstream selected for it. */
export interface SelectedRequest extends RoutedRequest {
    /** Counts from 1. */
    readonly attempt: number;
    readonly upstream: Upstream;
    /** Service time in milliseconds above which the answer counts as slow; 0 when no baseline is known. */
    readonly baselineMs: number;
    /** True for a trial request, which shows whether an ejected upstream has recovered. */
    readonly trial: boolean;
    /** True when the owner may refuse the attempt because another upstream may serve it sooner. */
    readonly redirectable?: boolean;
    /** Fault probability above which the owner must refuse the attempt before dispatch. */
    readonly faultLimit?: number | undefined;
    /** True when the owner is in another failure domain. */
    readonly remote?: boolean;
    /** True when an earlier attempt of the request has reached an upstream. */
    readonly repeat?: boolean;
    /** Incarnation of the owner known to this daemon when it sent the attempt; revocations contain it. */
    readonly ownerIncarnation?: string | undefined;
    /** For the log only. */
    readonly basis?: SelectionBasis;
}
