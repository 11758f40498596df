/** Answers required before the estimate is used. */
const minAnswers = 8;

/**
 * First and smallest step of the estimate as a fraction of its value; the step decreases with the answers
 * counted.
 */
const initialStep = 0.3;
const minStep = 0.02;

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
        const step = 1 + Math.max(minStep, initialStep / Math.sqrt(this.count));
        this.medianMs = sampleMs > this.medianMs ? this.medianMs * step : this.medianMs / step;
    }

    /** Milliseconds; undefined while too few answers are known. */
    get(): number | undefined {
        return this.count < minAnswers ? undefined : this.medianMs;
    }
}
