import type { Beacon } from "./beacon.ts";

/** Sends beacons; a lost one is replaced by the next. */
export interface BeaconTransport {
    /** `address` is the peer address of a daemon. Never fails and never waits. */
    send(address: string, beacon: Beacon): void;
}
