import { ok, type Result } from "neverthrow";
import type { Failure } from "../../src/core/failure.ts";
import type { Filter } from "../../src/core/filter.ts";
import type { SlopeMeasurement } from "./slope_measurement.ts";
import type { SlopeSamples } from "./slope_samples.ts";

/** Runs a measurement several times at each size, in turn, so that machine load affects all sizes alike. */
export class SampleFilter implements Filter<SlopeMeasurement, SlopeSamples> {
    constructor(private readonly runs: number) {}

    async apply(measurement: SlopeMeasurement): Promise<Result<SlopeSamples, Failure>> {
        // The first run is discarded; it lets the JIT compiler optimize.
        await measurement.measure(measurement.sizes[0]!);
        const values = new Map<string, Map<number, number[]>>();
        for (let run = 0; run < this.runs; run += 1) {
            for (const size of measurement.sizes) {
                for (const [name, value] of Object.entries(await measurement.measure(size))) {
                    const bySize = values.get(name) ?? new Map<number, number[]>();
                    values.set(name, bySize);
                    bySize.set(size, [...bySize.get(size) ?? [], value]);
                }
            }
        }
        return ok({ measurement, values });
    }
}
