/** Nearest-rank quantile; 0 for no values. */
export function computeQuantile(values: readonly number[], quantile: number): number {
    const sorted = Float64Array.from(values).sort();
    return sorted[Math.max(0, Math.ceil(quantile * sorted.length) - 1)] ?? 0;
}
