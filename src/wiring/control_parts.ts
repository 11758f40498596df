import type { ConfigProofReader } from "../authenticate/config_proof_reader.ts";
import type { BeaconExchange } from "../beacon/beacon_exchange.ts";
import type { TransportCache } from "../edge/control/transport_cache.ts";
import type { GossipHandler } from "../gossip/gossip_handler.ts";
import type { LeavingAnnouncer } from "../lifecycle/leaving_announcer.ts";
import type { MembershipTable } from "../membership/membership_table.ts";
import type { ConfigStore } from "../published/config_store.ts";
import type { ControlPlane } from "../published/control_plane.ts";
import type { StoreChangesSource } from "../published/store_changes_source.ts";
import type { BeaconBindings } from "./beacon_bindings.ts";
import type { UsageCapParts } from "./usage_cap_parts.ts";

/** Components of the control plane that the request pipelines use. */
export interface ControlParts {
    readonly store: ConfigStore;
    readonly membership: MembershipTable;
    readonly controlPlane: ControlPlane;
    readonly announcer: LeavingAnnouncer;
    readonly gossipHandler: GossipHandler | undefined;
    /** Undefined when the daemon does not follow a store of the platform. */
    readonly storeChanges: StoreChangesSource | undefined;
    readonly proof: ConfigProofReader;
    readonly transports: TransportCache;
    /** Undefined when the daemons send no beacons. */
    readonly beacons: { readonly exchange: BeaconExchange; readonly bindings: BeaconBindings; } | undefined;
    /** Undefined when the daemons send no beacons. */
    readonly usageCap?: UsageCapParts | undefined;
    readonly closers: readonly { close(): void; }[];
}
