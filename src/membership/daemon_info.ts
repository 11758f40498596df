/** A daemon that owns at least one upstream of the instance list. */
export interface DaemonInfo {
    readonly id: string;
    /** IP address and port of its interface for other daemons. */
    readonly address: string;
    readonly failureDomain: string;
    readonly region: string;
    /** True when the list marks all its upstreams as leaving. */
    readonly leaving: boolean;
}
