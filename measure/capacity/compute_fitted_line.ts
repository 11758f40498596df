import type { FittedLine } from "./fitted_line.ts";

/** Least-squares fit of a line to points `[size, value]` with at least two different sizes. */
export function computeFittedLine(points: readonly (readonly [number, number])[]): FittedLine {
    const count = points.length;
    const meanSize = points.reduce((sum, [size]) => sum + size, 0) / count;
    const meanValue = points.reduce((sum, [, value]) => sum + value, 0) / count;
    const variance = points.reduce((sum, [size]) => sum + (size - meanSize) ** 2, 0);
    const covariance = points.reduce(
        (sum, [size, value]) => sum + (size - meanSize) * (value - meanValue),
        0,
    );
    const slope = covariance / variance;
    const fixed = meanValue - slope * meanSize;
    const squares = points.reduce((sum, [size, value]) => sum + (value - fixed - slope * size) ** 2, 0);
    const largest = Math.max(...points.map(([, value]) => Math.abs(value)));
    return { fixed, slope, residual: largest === 0 ? 0 : Math.sqrt(squares / count) / largest };
}
