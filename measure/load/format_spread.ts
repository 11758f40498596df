/** Formats the median of several seeds with the smallest and largest value. */
export function formatSpread(values: readonly number[], digits = 1): string {
    const sorted = Float64Array.from(values).sort();
    const middle = sorted[Math.floor(sorted.length / 2)] ?? 0;
    return `${middle.toFixed(digits)} (${(sorted[0] ?? 0).toFixed(digits)} to ${
        (sorted[sorted.length - 1] ?? 0).toFixed(digits)
    })`;
}
