/** What decides about the place of one upstream in the rotation of one sender. */
export interface RotationMember {
    readonly upstreamId: string;
    /** Score in nats above the reference of the service's other upstreams. */
    readonly excess: number;
    /** True when the evidence calls for ejection, or the upstream is ejected and has not returned. */
    readonly failing: boolean;
    readonly ejected: boolean;
    /** True when this sender does not reach the owner of the upstream. */
    readonly unreachable: boolean;
}
