/** Tells whether all upstreams of a service are saturated, according to their replies. */
export interface SaturationReader {
    isSaturated(service: string): boolean;
}
