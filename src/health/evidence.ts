import type { UpstreamResultKind } from "../dispatch/upstream_result_kind.ts";

/** Result of one settled request as evidence about its upstream. */
export interface Evidence {
    readonly upstreamId: string;
    readonly service: string;
    readonly kind: UpstreamResultKind;
    /** False when a complete answer differs from what the route expects. */
    readonly expected: boolean;
    /** Milliseconds from dispatch to the end, without time in which this process was paused. */
    readonly serviceMs: number;
    /** Baseline that the sender put on the request in milliseconds; 0 when it knew none. */
    readonly baselineMs: number;
    readonly trial: boolean;
    /** Monotonic milliseconds. */
    readonly atMs: number;
}
