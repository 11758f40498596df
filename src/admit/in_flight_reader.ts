/** Provides the number of requests of a service that this entry daemon has in flight. */
export interface InFlightReader {
    getInFlight(service: string): number;
}
