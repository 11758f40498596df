/** Measures quantities of one component that grow with a size. */
export interface SlopeMeasurement {
    readonly name: string;
    readonly sizeUnit: string;
    /** At least three sizes. */
    readonly sizes: readonly number[];
    /** Size at the target scale of docs/design.md, for which the fit is evaluated. */
    readonly target: number;
    /** Runs the measurement once. Each key of the result names a quantity and ends with its unit. */
    measure(size: number): Promise<Readonly<Record<string, number>>>;
}
