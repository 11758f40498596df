/** How the stand-in upstream serves. */
export interface UpstreamBehaviour {
    /** Service time of ordinary requests in milliseconds. */
    readonly serviceMs: number;
    /** Service time of requests whose path contains `/history`. */
    readonly longServiceMs: number;
    /** Share in [0, 1] of requests that the fault below affects. */
    readonly faultShare: number;
    readonly fault: "none" | "slow" | "wrong-content" | "wrong-status" | "hang" | "cut" | "cut-before";
    /** Factor of the service time of slow requests. */
    readonly slowFactor: number;
    /** Faults come and go with this half period in milliseconds; 0 keeps them on. */
    readonly flapMs: number;
    /** Time after the start in which service is twice as slow. */
    readonly coldStartMs: number;
    readonly draining: boolean;
}
