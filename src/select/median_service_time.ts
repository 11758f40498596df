/** Answers after which the estimate is used. */
const minCount = 8;

/** Step of the estimate while it is settling, and the smallest step afterwards, as a share of its value. */
const firstStep = 0.3;
const lastStep = 0.02;

/** Running estimate of the median service time of one route over all upstreams. */
export class MedianServiceTime {
    private medianMs = 0;
    private count = 0;

    add(serviceMs: number): void {
        const sampleMs = Math.max(serviceMs, 0.01);
        this.count += 1;
        if (this.count === 1) {
            this.medianMs = sampleMs;
            return;
        }
        const step = 1 + Math.max(lastStep, firstStep / Math.sqrt(this.count));
        this.medianMs = sampleMs > this.medianMs ? this.medianMs * step : this.medianMs / step;
    }

    /** Milliseconds; undefined while too few answers are known. */
    get(): number | undefined {
        return this.count < minCount ? undefined : this.medianMs;
    }
}
