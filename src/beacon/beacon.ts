import type { UpstreamState } from "../core/upstream_state.ts";
import type { ServiceCount } from "../forward/service_count.ts";

/** What a daemon tells its neighbours in one datagram. */
export interface Beacon {
    readonly daemonId: string;
    /** Random number made at the start of the process. */
    readonly incarnation: string;
    /** True when the receiver shall pass the beacon on to the daemons of its own failure domain. */
    readonly relay: boolean;
    /** State of the upstreams that the daemon owns. */
    readonly upstreams: readonly UpstreamState[];
    /** Identifiers of the daemons whose beacons have arrived lately. */
    readonly heard: readonly string[];
    /** Attempts that the daemon has sent since its start; empty in relayed beacons. */
    readonly counts: readonly ServiceCount[];
    /** Revision of the platform's store up to which the daemon has read; 0 when it has read nothing. */
    readonly revision: number;
}
