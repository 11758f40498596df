/**
 * Counts amounts over a sliding time window.
 *
 * @example
 * ```ts
 * const counter = new SlidingWindowCounter(10_000);
 * counter.add(1, nowMs);
 * counter.get(nowMs);
 * ```
 *
 * @module
 */

/** Buckets into which a window is divided; the sum covers up to one bucket more than the window. */
const bucketsPerWindow = 20;

/** Counter over a sliding window, divided into buckets of equal length. */
export class SlidingWindowCounter {
    private readonly bucketMs: number;
    private readonly buckets: number[] = new Array<number>(bucketsPerWindow + 1).fill(0);
    private current = 0;
    private sum = 0;

    constructor(windowMs: number) {
        this.bucketMs = windowMs / bucketsPerWindow;
    }

    add(amount: number, nowMs: number): void {
        this.update(nowMs);
        this.buckets[this.current % this.buckets.length]! += amount;
        this.sum += amount;
    }

    get(nowMs: number): number {
        this.update(nowMs);
        return this.sum;
    }

    private update(nowMs: number): void {
        const target = Math.floor(nowMs / this.bucketMs);
        const first = Math.max(this.current + 1, target - bucketsPerWindow);
        for (let index = first; index <= target; index += 1) {
            this.sum -= this.buckets[index % this.buckets.length]!;
            this.buckets[index % this.buckets.length] = 0;
        }
        this.current = Math.max(this.current, target);
    }
}
