import type { Metrics } from "../core/metrics.ts";

type Tags = Readonly<Record<string, string>>;

/** Forwards each value to several destinations. */
export class CombinedMetrics implements Metrics {
    constructor(private readonly destinations: readonly Metrics[]) {}

    addCount(name: string, tags?: Tags): void {
        this.destinations.forEach(destination => destination.addCount(name, tags));
    }

    setGauge(name: string, value: number, tags?: Tags): void {
        this.destinations.forEach(destination => destination.setGauge(name, value, tags));
    }

    recordTime(name: string, valueMs: number, tags?: Tags): void {
        this.destinations.forEach(destination => destination.recordTime(name, valueMs, tags));
    }
}
