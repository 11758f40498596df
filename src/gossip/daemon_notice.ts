/** Says that one process of a daemon has started, or is leaving and with it all its upstreams. */
export interface DaemonNotice {
    readonly daemonId: string;
    readonly incarnation: string;
    readonly leaving: boolean;
}
