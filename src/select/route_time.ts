/** Answers after which the estimate is used. */
const minCount = 8;

/** Step of the estimate while it is settling, and the smallest step afterwards, as a share of its value. */
const firstStep = 0.3;
const lastStep = 0.02;

/** Running estimate of the median service time of one route over all upstreams. */
export class RouteTime {
    private usualMs = 0;
    private count = 0;

    add(serviceMs: number): void {
        const sampleMs = Math.max(serviceMs, 0.01);
        this.count += 1;
        if (this.count === 1) {
            this.usualMs = sampleMs;
            return;
        }
        const step = 1 + Math.max(lastStep, firstStep / Math.sqrt(this.count));
        this.usualMs = sampleMs > this.usualMs ? this.usualMs * step : this.usualMs / step;
    }

    /** Milliseconds; undefined while too few answers are known. */
    get(): number | undefined {
        return this.count < minCount ? undefined : this.usualMs;
    }
}
