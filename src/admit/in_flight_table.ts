import type { InFlightReader } from "./in_flight_reader.ts";

/** Counts the requests of each service that are in flight at this entry daemon. */
export class InFlightTable implements InFlightReader {
    private readonly counts = new Map<string, number>();

    add(service: string): void {
        this.counts.set(service, this.getInFlight(service) + 1);
    }

    remove(service: string): void {
        const count = this.getInFlight(service);
        if (count > 1) {
            this.counts.set(service, count - 1);
        }
        else {
            this.counts.delete(service);
        }
    }

    getInFlight(service: string): number {
        return this.counts.get(service) ?? 0;
    }
}
