/** Says that one process of a daemon is leaving, and with it all its upstreams. */
export interface LeavingNotice {
    readonly daemonId: string;
    readonly incarnation: string;
}
