import type { FittedLine } from "./fitted_line.ts";

/** One quantity: its runs in ascending order by size, and the line through the medians. */
export interface QuantityFit {
    readonly name: string;
    readonly sortedBySize: ReadonlyMap<number, readonly number[]>;
    readonly line: FittedLine;
}
