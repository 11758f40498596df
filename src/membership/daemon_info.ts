/** A daemon that owns upstreams of the instance list. */
export interface DaemonInfo {
    readonly id: string;
    /** Address (IP number and port) of its interface for other daemons. */
    readonly address: string;
    readonly failureDomain: string;
    readonly region: string;
    /** True when the list says so of all its upstreams. */
    readonly leaving: boolean;
}
