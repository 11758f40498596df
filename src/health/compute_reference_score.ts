/**
 * A score counts only as far as it exceeds this multiple of the median. When all upstreams fail for a common
 * reason, a sender knows the scores of most of them later than the highest one, so the median it knows is too
 * low.
 */
const lagFactor = 2;

/** With fewer known scores of other upstreams there is nothing to compare with. */
const minOthers = 3;

/**
 * Reference for one upstream in nats, from the median of the scores of the service's other upstreams in
 * rotation. A dependency that fails for all upstreams raises all scores; only what exceeds the reference
 * calls for ejection. `others` is the number of those upstreams, `knownScores` are the scores computed since
 * the upstream's own score is raised. Infinite when too few are known.
 */
export function computeReferenceScore(others: number, knownScores: readonly number[]): number {
    if (knownScores.length < Math.min(minOthers, others)) {
        return Number.POSITIVE_INFINITY;
    }
    const sorted = [...knownScores].sort((left, right) => left - right);
    return lagFactor * (sorted[sorted.length >> 1] ?? 0);
}
