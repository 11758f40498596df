/** Knows the paths to other daemons from their beacons. */
export interface PeerStatusReader {
    /** True when the path to the daemon is cut in either direction. */
    isUnresponsive(daemonId: string): boolean;
}
