import type { ActiveConfigReader } from "../config/active_config_reader.ts";
import type { Clock } from "../core/clock.ts";
import type { InFlightReader } from "./in_flight_reader.ts";
import type { SaturationReader } from "./saturation_reader.ts";
import type { ServiceTimeReader } from "./service_time_reader.ts";

/** Dependencies of an `AdmitFilter`. */
export interface AdmitFilterOptions {
    readonly clock: Clock;
    readonly config: ActiveConfigReader;
    readonly inFlight: InFlightReader;
    readonly saturation: SaturationReader;
    readonly serviceTimes: ServiceTimeReader;
}
