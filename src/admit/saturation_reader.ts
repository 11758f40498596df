/** Tells whether a service has no upstream left that could take work, as seen in replies. */
export interface SaturationReader {
    isSaturated(service: string): boolean;
}
