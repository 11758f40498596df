/** Division of the live upstreams of a service, by identifier. */
export interface Rotation {
    readonly inRotation: ReadonlySet<string>;
    /** Out of rotation because of evidence about the upstream. */
    readonly ejected: ReadonlySet<string>;
    /** Out of rotation at this entry daemon only, because of its path to the owner. */
    readonly avoided: ReadonlySet<string>;
}
