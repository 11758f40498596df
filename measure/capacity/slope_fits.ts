import type { QuantityFit } from "./quantity_fit.ts";
import type { SlopeMeasurement } from "./slope_measurement.ts";

/** All quantities of one measurement with their lines. */
export interface SlopeFits {
    readonly measurement: SlopeMeasurement;
    readonly quantities: readonly QuantityFit[];
}
