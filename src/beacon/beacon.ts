import type { ServiceCount } from "../forward/service_count.ts";
import type { BeaconKind } from "./beacon_kind.ts";
import type { UpstreamReport } from "./upstream_report.ts";

/** What a daemon tells another one in one datagram. */
export interface Beacon {
    readonly kind: BeaconKind;
    readonly daemonId: string;
    /** Random number made at the start of the process. */
    readonly incarnation: string;
    /** States of own upstreams and newest states of others. */
    readonly reports: readonly UpstreamReport[];
    /** Attempts that the daemon has sent lately; empty unless both share a retry budget. */
    readonly counts: readonly ServiceCount[];
    /** Revision of the platform's store up to which the daemon has read; 0 when it has read nothing. */
    readonly revision: number;
    /** Some of the daemons that do not answer the sender. */
    readonly suspects: readonly string[];
}
