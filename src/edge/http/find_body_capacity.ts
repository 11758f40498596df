/**
 * Capacities of a body of unknown length, before its limit. A larger body is copied at most twice, and the pages of its
 * buffer that are not written do not become resident.
 */
const unknownLengthSteps: readonly number[] = [65_536, 524_288];

/** Returns the capacity in bytes for a body of unknown length that has `length` bytes so far. */
export function findBodyCapacity(length: number, maxBytes: number): number {
    return Math.min(maxBytes, unknownLengthSteps.find(bytes => bytes >= length) ?? maxBytes);
}
