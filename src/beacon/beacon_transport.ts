import type { Beacon } from "./beacon.ts";

/** Sends beacons without retransmission; the next beacon replaces a lost one. */
export interface BeaconTransport {
    /** `address` is the peer address of a daemon. Neither fails nor blocks. */
    send(address: string, beacon: Beacon): void;
}
