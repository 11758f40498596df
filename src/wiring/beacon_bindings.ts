import type { CountExchange } from "../beacon/count_exchange.ts";
import type { StateObserver } from "../beacon/state_observer.ts";
import type { UpstreamState } from "../core/upstream_state.ts";

/** Parts that beacons connect and that are built after them. */
export interface BeaconBindings {
    listStates: () => readonly UpstreamState[];
    observer: StateObserver;
    counts: CountExchange;
    listNeighbours: (service: string, upstreamId: string) => readonly UpstreamState[];
}
