import type { AttemptCountExchange } from "../beacon/attempt_count_exchange.ts";
import type { StateObserver } from "../beacon/state_observer.ts";
import type { UpstreamState } from "../core/upstream_state.ts";

/** Dependencies of the beacon exchange that are built after it; without effect until they are assigned. */
export interface BeaconBindings {
    listStates: () => readonly UpstreamState[];
    observer: StateObserver;
    counts: AttemptCountExchange;
    listNeighbours: (service: string, upstreamId: string) => readonly UpstreamState[];
}
