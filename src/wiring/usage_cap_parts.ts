import type { Beacon } from "../beacon/beacon.ts";
import type { FleetUsageCap } from "../usage_cap/fleet_usage_cap.ts";
import type { UsageCapFilter } from "../usage_cap/usage_cap_filter.ts";

/** Components of the usage caps. */
export interface UsageCapParts {
    readonly cap: FleetUsageCap;
    readonly filter: UsageCapFilter;
    /** Starts to follow the list of daemons. */
    start(): void;
    /** Handles a beacon with an ask or a grant; false for any other beacon. */
    handleBeacon(beacon: Beacon): boolean;
    close(): void;
}
