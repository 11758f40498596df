import type { SlopeMeasurement } from "./slope_measurement.ts";

/** Values of all runs by quantity, then by size. */
export interface SlopeSamples {
    readonly measurement: SlopeMeasurement;
    readonly values: ReadonlyMap<string, ReadonlyMap<number, readonly number[]>>;
}
