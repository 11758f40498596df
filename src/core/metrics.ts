/** Destination of metrics; docs/metrics.md lists the names. */
export interface Metrics {
    addCount(name: string, tags?: Readonly<Record<string, string>>): void;
    setGauge(name: string, value: number, tags?: Readonly<Record<string, string>>): void;
    /** Records a duration in milliseconds. */
    recordTime(name: string, valueMs: number, tags?: Readonly<Record<string, string>>): void;
}
