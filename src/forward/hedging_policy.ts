import type { RoutedRequest } from "../route/routed_request.ts";

/** Decides when a repeatable request is sent to a second upstream. Holds no socket, timer or clock. */
export interface HedgingPolicy {
    /** Milliseconds after which the request may be hedged; undefined when it must not be. */
    computeDelayMs(request: RoutedRequest, upstreamId: string, nowMs: number): number | undefined;
    /** True when the hedge may be sent now, which is then counted. */
    take(request: RoutedRequest, nowMs: number): boolean;
    /** Records the time from sending an attempt to its complete answer. */
    recordAnswer(request: RoutedRequest, upstreamId: string, durationMs: number, nowMs: number): void;
}
