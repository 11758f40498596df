/** Service times and faults of the stand-in upstream. */
export interface UpstreamBehaviour {
    /** Service time of ordinary requests in milliseconds. */
    readonly serviceMs: number;
    /** Service time of requests whose path contains `/history`. */
    readonly longServiceMs: number;
    /** Share of requests in [0, 1] that `fault` affects. */
    readonly faultShare: number;
    /** `cut` closes the connection in mid-answer, `cut-before` before the request takes effect. */
    readonly fault: "none" | "slow" | "wrong-content" | "wrong-status" | "hang" | "cut" | "cut-before";
    /** Multiplies the service time of requests that the fault `slow` affects. */
    readonly slowFactor: number;
    /** Milliseconds of the alternating periods with and without faults; 0 keeps the fault active. */
    readonly flapMs: number;
    /** Milliseconds after the start during which service takes twice as long. */
    readonly coldStartMs: number;
    /** Sheds all requests with status 503. */
    readonly draining: boolean;
}
