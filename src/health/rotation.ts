/** Division of the live upstreams of a service, by identifier. */
export interface Rotation {
    readonly inRotation: ReadonlySet<string>;
    /** Out because of evidence about the upstream. */
    readonly ejected: ReadonlySet<string>;
    /** Out for this sender only, because of its path to the owner. */
    readonly avoided: ReadonlySet<string>;
}
