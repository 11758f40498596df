/**
 * Sum of what was counted in the last window.
 *
 * @example
 * ```ts
 * const count = new SlidingCount(10_000);
 * count.add(1, nowMs);
 * count.get(nowMs);
 * ```
 *
 * @module
 */

/** Parts into which a window is divided; the sum covers up to one part more than the window. */
const partsPerWindow = 20;

/** Counter over a sliding window. */
export class SlidingCount {
    private readonly partMs: number;
    private readonly parts: number[] = new Array<number>(partsPerWindow + 1).fill(0);
    private current = 0;
    private sum = 0;

    constructor(windowMs: number) {
        this.partMs = windowMs / partsPerWindow;
    }

    add(amount: number, nowMs: number): void {
        this.update(nowMs);
        this.parts[this.current % this.parts.length]! += amount;
        this.sum += amount;
    }

    get(nowMs: number): number {
        this.update(nowMs);
        return this.sum;
    }

    private update(nowMs: number): void {
        const target = Math.floor(nowMs / this.partMs);
        const first = Math.max(this.current + 1, target - partsPerWindow);
        for (let part = first; part <= target; part += 1) {
            this.sum -= this.parts[part % this.parts.length]!;
            this.parts[part % this.parts.length] = 0;
        }
        this.current = Math.max(this.current, target);
    }
}
