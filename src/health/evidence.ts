import type { UpstreamResultKind } from "../dispatch/upstream_result_kind.ts";

/** Evidence about an upstream from the result of one attempt. */
export interface Evidence {
    readonly upstreamId: string;
    readonly service: string;
    readonly kind: UpstreamResultKind;
    /** False when a complete answer differs from what the route expects. */
    readonly expected: boolean;
    /** Milliseconds from dispatch to the end, without time during which this process was paused. */
    readonly serviceMs: number;
    /** Baseline in milliseconds from the request; 0 when the entry daemon had none. */
    readonly baselineMs: number;
    readonly trial: boolean;
    /** Monotonic milliseconds. */
    readonly atMs: number;
}
