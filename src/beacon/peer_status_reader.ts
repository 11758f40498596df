/** Provides the state of the paths to other daemons as detected by probes. */
export interface PeerStatusReader {
    /** True when the path to the daemon is down in either direction. */
    isUnresponsive(daemonId: string): boolean;
}
