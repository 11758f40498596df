/** Inputs that decide whether an upstream is in the rotation of one entry daemon. */
export interface RotationMember {
    readonly upstreamId: string;
    /** Excess of the score in nats over the reference of the service's other upstreams. */
    readonly excess: number;
    /** True when the evidence is sufficient for ejection, or the upstream is ejected and has not returned. */
    readonly failing: boolean;
    readonly ejected: boolean;
    /** True when this entry daemon cannot reach the owner of the upstream. */
    readonly unreachable: boolean;
}
