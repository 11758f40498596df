/**
 * Counters, gauges and latency histograms in the text format of Prometheus.
 *
 * @example
 * ```ts
 * const metrics = new RegistryMetrics("daemon-1");
 * metrics.recordTime("caller.request", 12);
 * const text = await metrics.format();
 * ```
 *
 * @module
 */
import { Counter, Gauge, Histogram, Registry } from "prom-client";
import type { Metrics } from "../../core/metrics.ts";

type Tags = Readonly<Record<string, string>>;

/** Upper bounds of the histogram buckets in milliseconds, from one network hop to the longest deadlines. */
const bucketsMs = [1, 2.5, 5, 10, 25, 50, 100, 250, 500, 1_000, 2_500, 5_000, 10_000];

/** Registry of metrics, created on first use; dots in their names become underscores. */
export class RegistryMetrics implements Metrics {
    private readonly registry = new Registry();
    private readonly counters = new Map<string, Counter>();
    private readonly gauges = new Map<string, Gauge>();
    private readonly histograms = new Map<string, Histogram>();

    constructor(daemonId: string) {
        this.registry.setDefaultLabels({ daemon: daemonId });
    }

    addCount(name: string, tags: Tags = {}): void {
        let counter = this.counters.get(name);
        if (counter === undefined) {
            counter = new Counter(this.createOptions(`${name}.total`, tags));
            this.counters.set(name, counter);
        }
        counter.inc({ ...tags });
    }

    setGauge(name: string, value: number, tags: Tags = {}): void {
        let gauge = this.gauges.get(name);
        if (gauge === undefined) {
            gauge = new Gauge(this.createOptions(name, tags));
            this.gauges.set(name, gauge);
        }
        gauge.set({ ...tags }, value);
    }

    recordTime(name: string, valueMs: number, tags: Tags = {}): void {
        let histogram = this.histograms.get(name);
        if (histogram === undefined) {
            histogram = new Histogram({ ...this.createOptions(`${name}.ms`, tags), buckets: bucketsMs });
            this.histograms.set(name, histogram);
        }
        histogram.observe({ ...tags }, valueMs);
    }

    /** Formats all metrics as text. */
    format(): Promise<string> {
        return this.registry.metrics();
    }

    getContentType(): string {
        return this.registry.contentType;
    }

    private createOptions(name: string, tags: Tags) {
        return {
            name: `zinniaglade_${name.replaceAll(".", "_")}`,
            help: `See docs/metrics.md, ${name}`,
            labelNames: Object.keys(tags),
            registers: [this.registry],
        };
    }
}
