import type { ServiceCount } from "../forward/service_count.ts";
import type { StoreRevision } from "../published/store_revision.ts";
import type { AllowanceAsk } from "../usage_cap/allowance_ask.ts";
import type { AllowanceGrant } from "../usage_cap/allowance_grant.ts";
import type { BeaconKind } from "./beacon_kind.ts";
import type { ConfigClaim } from "./config_claim.ts";
import type { UpstreamReport } from "./upstream_report.ts";

/** Content of one datagram from one daemon to another. */
export interface Beacon {
    readonly kind: BeaconKind;
    readonly daemonId: string;
    /** Random number generated at the start of the process. */
    readonly incarnation: string;
    /** States of upstreams of the sender and newest known states of others. */
    readonly reports: readonly UpstreamReport[];
    /** Counts of recent attempts of the sender; empty unless both daemons share a retry budget. */
    readonly counts: readonly ServiceCount[];
    /** Revision of the platform's store up to which the sender has read; 0 when it has read nothing. */
    readonly revision: StoreRevision;
    /** True while the sender reads changes after that revision that are too large to be passed on. */
    readonly hasLargeChange?: boolean | undefined;
    /**
     * Milliseconds since a daemon of the failure domain has reached the platform's store, as far as the sender
     * knows; undefined when it knows of none.
     */
    readonly storeAgeMs?: number | undefined;
    /** What the sender can prove about its configuration; undefined when proofs are not exchanged. */
    readonly claim?: ConfigClaim | undefined;
    /** Number of the probe that this beacon is or acknowledges. */
    readonly probeNumber?: number | undefined;
    /** Some of the daemons that do not acknowledge probes of the sender. */
    readonly suspects: readonly string[];
    /** Set when the beacon asks for a part of a usage cap, and contains nothing else. */
    readonly allowanceAsk?: AllowanceAsk | undefined;
    /** Set when the beacon answers such an ask, and contains nothing else. */
    readonly allowanceGrant?: AllowanceGrant | undefined;
}
