import type { RoutedRequest } from "../route/routed_request.ts";

/** Provides the service time above which an answer counts as slow. */
export interface BaselineReader {
    /** Milliseconds; 0 when no baseline is known. */
    getBaselineMs(request: RoutedRequest, upstreamId: string): number;
}
