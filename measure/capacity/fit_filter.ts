import { ok, type Result } from "neverthrow";
import type { Failure } from "../../src/core/failure.ts";
import type { Filter } from "../../src/core/filter.ts";
import { computeFittedLine } from "./compute_fitted_line.ts";
import type { SlopeFits } from "./slope_fits.ts";
import type { SlopeSamples } from "./slope_samples.ts";

/** Fits a line to the medians of each quantity. */
export class FitFilter implements Filter<SlopeSamples, SlopeFits> {
    apply({ measurement, values }: SlopeSamples): Result<SlopeFits, Failure> {
        const quantities = [...values].map(([name, bySize]) => {
            const sortedBySize = new Map(
                [...bySize].map(([size, runs]) => [size, runs.toSorted((left, right) => left - right)]),
            );
            const line = computeFittedLine(
                [...sortedBySize].map(([size, runs]) => [size, runs[runs.length >> 1]!]),
            );
            return { name, sortedBySize, line };
        });
        return ok({ measurement, quantities });
    }
}
