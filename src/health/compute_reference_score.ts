/**
 * Multiple of the median that a score must exceed to count. When all upstreams fail for a common reason, an
 * entry daemon receives most scores later than the highest one, so the median that it computes is too low.
 */
const lagFactor = 2;

/** Number of known scores of other upstreams that the comparison requires. */
const minOthers = 3;

/**
 * Reference score in nats for one upstream, from the median score of the service's other upstreams in
 * rotation. A failing dependency raises the scores of all upstreams, so only the excess over the reference
 * counts for ejection. `others` is the number of those upstreams, `knownScores` are the scores computed since
 * the score of the upstream itself has been raised. Infinite when too few scores are known.
 */
export function computeReferenceScore(others: number, knownScores: readonly number[]): number {
    if (knownScores.length < Math.min(minOthers, others)) {
        return Number.POSITIVE_INFINITY;
    }
    const sorted = [...knownScores].sort((left, right) => left - right);
    return lagFactor * (sorted[sorted.length >> 1] ?? 0);
}
