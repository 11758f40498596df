import type { RevocationBounds } from "../authenticate/revocation_bounds.ts";
import type { Clock } from "../core/clock.ts";
import type { Logger } from "../core/logger.ts";
import type { Metrics } from "../core/metrics.ts";
import type { RandomSource } from "../core/random_source.ts";
import type { Timers } from "../core/timers.ts";
import type { MembershipTable } from "../membership/membership_table.ts";
import type { ConfigStore } from "./config_store.ts";
import type { PlatformStore } from "./platform_store.ts";
import type { StorePeers } from "./store_peers.ts";

/** Parts that a follower of the platform's store uses. */
export interface StoreFollowerOptions {
    readonly store: PlatformStore;
    readonly peers: StorePeers;
    readonly configs: ConfigStore;
    readonly membership: MembershipTable;
    readonly clock: Clock;
    readonly timers: Timers;
    readonly random: RandomSource;
    readonly logger: Logger;
    readonly metrics: Metrics;
    /** Longest time in milliseconds that `start` waits for a configuration. */
    readonly startWaitMs: number;
    /** Milliseconds within which the platform wants a change in force. */
    readonly getApplyMs: () => number;
    /** Milliseconds after open connections went silent within which changes must be read again. */
    readonly getSilenceMs: () => number;
    readonly getBounds: () => RevocationBounds;
}
