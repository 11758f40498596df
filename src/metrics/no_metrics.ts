import type { Metrics } from "../core/metrics.ts";

/** Discards metrics; used when no receiver is configured. */
export class NoMetrics implements Metrics {
    addCount(): void {}

    setGauge(): void {}

    recordTime(): void {}
}
