/** Knows the paths to other daemons from their beacons. */
export interface PathObserver {
    /** True when the path to the daemon is cut in either direction. */
    isSilent(daemonId: string): boolean;
}
