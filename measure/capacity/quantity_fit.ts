import type { FittedLine } from "./fitted_line.ts";

/** One quantity: its values at each size in ascending order, and the line fitted to their medians. */
export interface QuantityFit {
    readonly name: string;
    readonly sortedBySize: ReadonlyMap<number, readonly number[]>;
    readonly line: FittedLine;
}
