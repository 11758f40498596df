/** Announces that a daemon process has started, or is leaving together with all its upstreams. */
export interface DaemonNotice {
    readonly daemonId: string;
    readonly incarnation: string;
    readonly leaving: boolean;
}
