/** A line `fixed + slope * size` and how far the points are from it. */
export interface FittedLine {
    readonly fixed: number;
    readonly slope: number;
    /** Root mean square of the residuals as a share of the largest point; 0 when all points are 0. */
    readonly residual: number;
}
