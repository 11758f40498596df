/**
 * Divides the requests of one route between services in the proportions of their weights.
 *
 * @example
 * ```ts
 * const sequence = new SplitSequence(random.getFloat());
 * const service = sequence.take(new Map([["payments", 90], ["accounts", 10]]));
 * ```
 *
 * @module
 */

/** Fractional part of the golden ratio: its multiples modulo 1 are evenly spread, however many there are. */
const step = (Math.sqrt(5) - 1) / 2;

/** Low-discrepancy sequence: the shares are close to the weights even for few requests. */
export class SplitSequence {
    /** `position` in [0, 1) is the start, which keeps the sequences of several daemons apart. */
    constructor(private position: number) {}

    /** Undefined when no weight is above 0. */
    take(weights: ReadonlyMap<string, number>): string | undefined {
        let total = 0;
        for (const weight of weights.values()) {
            total += weight;
        }
        this.position = (this.position + step) % 1;
        let remaining = this.position * total;
        let last: string | undefined;
        for (const [service, weight] of weights) {
            if (weight <= 0) {
                continue;
            }
            last = service;
            remaining -= weight;
            if (remaining < 0) {
                break;
            }
        }
        return last;
    }
}
