import type { RoutedRequest } from "../route/routed_request.ts";
import type { HedgeVerdict } from "./hedge_verdict.ts";

/**
 * Decides whether and when a repeatable request is sent to a second upstream. Holds no socket, timer or clock;
 * all times are monotonic milliseconds.
 */
export interface HedgingPolicy {
    /** Counts a request, of which a share may be hedged. */
    add(request: RoutedRequest, nowMs: number): void;
    /** Milliseconds after the start of an attempt at which a hedge is due; undefined when there is none. */
    computeDelayMs(request: RoutedRequest, upstreamId: string, nowMs: number): number | undefined;
    /** Decides about a hedge that is due; one that is allowed is counted and charged to the retry budget. */
    take(request: RoutedRequest, nowMs: number): HedgeVerdict;
    /** Returns a hedge that was allowed but reached no upstream. */
    release(request: RoutedRequest, nowMs: number): void;
    /** Records the time from sending an attempt to its complete answer. */
    recordAnswer(request: RoutedRequest, upstreamId: string, durationMs: number, nowMs: number): void;
    /** Records an attempt that was given up after `durationMs`: its answer would have taken longer. */
    recordUnanswered(request: RoutedRequest, upstreamId: string, durationMs: number, nowMs: number): void;
}
