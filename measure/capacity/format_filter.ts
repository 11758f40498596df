import { ok, type Result } from "neverthrow";
import type { Failure } from "../../src/core/failure.ts";
import type { Filter } from "../../src/core/filter.ts";
import { formatQuantity } from "./format_quantity.ts";
import type { QuantityFit } from "./quantity_fit.ts";
import type { SlopeFits } from "./slope_fits.ts";

/** Builds the lines of a table in Markdown. */
export class FormatFilter implements Filter<SlopeFits, readonly string[]> {
    apply({ measurement, quantities }: SlopeFits): Result<readonly string[], Failure> {
        const { name, sizes, sizeUnit, target } = measurement;
        return ok([
            `### ${name}`,
            "",
            `| quantity | median [least, greatest] at ${
                sizes.join(", ")
            } ${sizeUnit} | fixed | slope | residual | fit at ${target} |`,
            "| --- | --- | --- | --- | --- | --- |",
            ...quantities.map(quantity => formatRow(quantity, target)),
            "",
        ]);
    }
}

function formatRow({ name, sortedBySize, line }: QuantityFit, target: number): string {
    const { fixed, slope, residual } = line;
    const columns = [
        name,
        [...sortedBySize.values()].map(formatRuns).join("; "),
        formatQuantity(fixed),
        slope.toPrecision(3),
        `${(100 * residual).toFixed(1)}%`,
        formatQuantity(fixed + slope * target),
    ];
    return `| ${columns.join(" | ")} |`;
}

function formatRuns(sorted: readonly number[]): string {
    const [median, least, greatest] = [sorted[sorted.length >> 1]!, sorted[0]!, sorted.at(-1)!].map(
        formatQuantity,
    );
    return least === greatest ? median! : `${median} [${least}, ${greatest}]`;
}
