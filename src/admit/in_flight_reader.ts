/** Gives the number of requests that this entry daemon has in flight. */
export interface InFlightReader {
    getInFlight(service: string): number;
}
