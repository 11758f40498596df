import type { Link } from "./link.ts";
import type { ProcessHandle } from "./process_handle.ts";

/** One daemon of a fleet. */
export interface FleetDaemon {
    readonly id: string;
    readonly callerUrl: string;
    readonly peerAddress: string;
    readonly adminAddress: string;
    readonly failureDomain: string;
    readonly flags: readonly string[];
    /** Relays connections to `peerAddress`; present when the fleet has links. */
    link: Link | undefined;
    process: ProcessHandle;
}
