import type { Clock } from "../core/clock.ts";
import type { Timers } from "../core/timers.ts";
import type { DaemonStateReader } from "../lifecycle/daemon_state_reader.ts";
import type { OwnedUpstreamReader } from "./owned_upstream_reader.ts";
import type { ShedPolicy } from "./shed_policy.ts";
import type { SlotLimit } from "./slot_limit.ts";

/** Dependencies of a `QueueFilter`. */
export interface QueueFilterOptions {
    readonly clock: Clock;
    readonly timers: Timers;
    readonly upstreams: OwnedUpstreamReader;
    readonly daemonState: DaemonStateReader;
    /** Creates the shed policy of one queue; `SustainedWaitShedPolicy` by default. */
    readonly createShedPolicy?: () => ShedPolicy;
    /** Creates the slot limit of one upstream from its nominal slots; `AdaptiveSlotLimit` by default. */
    readonly createSlotLimit?: (nominal: number) => SlotLimit;
}
