/** Length in milliseconds of the parts in which what was lent is counted and expires. */
const partMs = 250;

interface Part {
    readonly index: number;
    /** What could be lent in a window when this part was lent. */
    readonly capacity: number;
    amount: number;
}

/** Counts what a lender has lent within a sliding window. */
export class LentWindow {
    /** Oldest first. */
    private parts: Part[] = [];

    add(amount: number, capacity: number, nowMs: number): void {
        const index = Math.floor(nowMs / partMs);
        const last = this.parts.at(-1);
        if (last?.index === index && last.capacity === capacity) {
            last.amount += amount;
        }
        else {
            this.parts.push({ index, capacity, amount });
        }
    }

    /**
     * Requests that may still be lent. What was lent under a higher capacity counts in proportion, so that a
     * lowered cap does not refuse everything for a window.
     */
    countLeft(capacity: number, windowMs: number, nowMs: number): number {
        this.removeExpired(windowMs, nowMs);
        return this.parts.reduce(
            (left, part) => left - part.amount * Math.min(1, capacity / part.capacity),
            capacity,
        );
    }

    /** Monotonic milliseconds at which the oldest part expires; undefined when nothing is lent. */
    findNextExpiryMs(windowMs: number): number | undefined {
        const [oldest] = this.parts;
        return oldest && (oldest.index + 1) * partMs + windowMs;
    }

    private removeExpired(windowMs: number, nowMs: number): void {
        while (this.parts[0] !== undefined && (this.parts[0].index + 1) * partMs + windowMs <= nowMs) {
            this.parts.shift();
        }
    }
}
