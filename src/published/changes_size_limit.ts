/**
 * How many bytes of changes are worth reading. The history of a store holds every version of a value, so the changes
 * that a daemon has missed can be many times as long as all values together.
 *
 * @example
 * ```ts
 * limit.recordPage(page, true);
 * const maxBytes = limit.getMaxBytes();
 * ```
 *
 * @module
 */
import type { StorePage } from "./store_page.ts";

/**
 * Bytes by which changes may be longer than all values were, for a value that grows. Reading them in vain takes 0.3 s on
 * a link of 7 Mbit/s.
 */
const maxGrowthBytes = 262_144;

/** Remembers the length of all values. */
export class ChangesSizeLimit {
    /** Characters of the items, of which the answer of the store consists but for a few. */
    private valuesLength = 0;

    /** Records an answer of the store. */
    recordPage({ items }: StorePage, isComplete: boolean): void {
        const lengths = items.map(({ length }) => length);
        this.valuesLength = isComplete
            ? lengths.reduce((sum, length) => sum + length, 0)
            : lengths.reduce((longest, length) => Math.max(longest, length), this.valuesLength);
    }

    /** Bytes of an answer with changes beyond which a read of all values ends sooner. */
    getMaxBytes(): number {
        return this.valuesLength + maxGrowthBytes;
    }
}
